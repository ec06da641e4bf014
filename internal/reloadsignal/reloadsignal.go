// Package reloadsignal catches SIGHUP from the start of a process, as package
// stopsignal does for the stop signals. SIGHUP otherwise ends the process.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns a channel that receives SIGHUP. Signals that arrive before the
// first one is received are received as one.
func Signals() <-chan os.Signal { return signals }
