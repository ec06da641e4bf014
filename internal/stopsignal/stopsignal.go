// Package stopsignal catches the stop signals of a daemon, SIGINT and SIGTERM, from
// the start of its process.
//
// The signals are caught when the package is initialised. It imports only packages
// that come early in the order of initialisation, so it precedes the libraries whose
// initialisation takes long. One of them, go-zero, catches stop signals itself and
// raises them again 5.5 s later.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals stays registered, so that a second signal does not kill the process while
// requests are in flight.
var signals = catch()

func catch() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	return c
}

// Context returns a context that ends with the first stop signal since the start of
// the process. It may be called once.
func Context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
