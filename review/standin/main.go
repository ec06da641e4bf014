// Command case plays the scripted cases of this review. Each case starts
// processes of target/drgate with the command of the deploy file, on loopback
// addresses, and stand-ins of the store, the backends and the clients in its own
// process. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxTime bounds a case.
	maxTime = 110 * time.Second
)

// cases are the cases by the names of their folders.
var cases = map[string]func(*Bed, bool) (int, error){
	"1": truncatedAnswer,
	"3": slowReader,
	"4": frozenFollower,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NUMBER FOLDER, in the root of the repository")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](b, trouble)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			b.Log("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return exitNotRun
		}
		return r.code
	case <-stop:
		return exitNotRun
	case <-time.After(maxTime):
		b.Log("could not run: takes too long")
		return exitNotRun
	}
}
