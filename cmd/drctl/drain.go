package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

const waitPollInterval = 500 * time.Millisecond

type drainCmd struct {
	Start  drainStartCmd  `cmd:"" help:"Start to drain a backend server."`
	Status drainStatusCmd `cmd:"" help:"Show the progress of a drain."`
	Cancel drainCancelCmd `cmd:"" help:"Cancel a drain."`
}

// waitFlags are the flags of the commands that can wait.
type waitFlags struct {
	Wait        bool          `help:"Wait until the drain has ended, or, after cancel, until it is no longer in force."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"10m"`
}

type drainStartCmd struct {
	Server string `arg:"" help:"Id of the backend server."`
	Reason string `help:"Reason, shown to other operators."`
	waitFlags
}

func (c *drainStartCmd) Run(s *session) error {
	if err := s.submitAndPrint(config.StartDrain{Server: c.Server, Reason: c.Reason}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.waitUntil(s, c.Server, func(d operator.DrainStatus) bool {
		return d.Draining && d.Idle() && !d.IdleSince.IsZero()
	})
}

type drainStatusCmd struct {
	Server string `arg:"" help:"Id of the backend server."`
	waitFlags
}

func (c *drainStatusCmd) Run(s *session) error {
	if c.Wait {
		return c.waitUntil(s, c.Server, func(d operator.DrainStatus) bool {
			return d.Draining && d.Idle() && !d.IdleSince.IsZero()
		})
	}
	d, err := drainStatus(s, c.Server)
	if err != nil {
		return err
	}
	return printDrain(s, d)
}

type drainCancelCmd struct {
	Server string `arg:"" help:"Id of the backend server."`
	baseVersionFlag
	waitFlags
}

func (c *drainCancelCmd) Run(s *session) error {
	base, err := c.base(s)
	if err != nil {
		return err
	}
	if err := s.submitAndPrint(config.CancelDrain{Server: c.Server, BaseVersion: base}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.waitUntil(s, c.Server, func(d operator.DrainStatus) bool { return !d.Draining })
}

func (c *drainCancelCmd) base(s *session) (uint64, error) {
	if c.BaseVersion != nil {
		return *c.BaseVersion, nil
	}
	doc, err := s.document()
	if err != nil {
		return 0, err
	}
	if current := doc.Drains[c.Server]; current != nil {
		return current.Version, nil
	}
	return 0, nil
}

func drainStatus(s *session, server string) (operator.DrainStatus, error) {
	return call(s, func(ctx context.Context, c *operator.Client) (operator.DrainStatus, error) {
		return c.DrainStatus(ctx, server)
	})
}

// waitUntil polls the status until done holds, then prints it.
func (w *waitFlags) waitUntil(s *session, server string, done func(operator.DrainStatus) bool) error {
	deadline := time.Now().Add(w.WaitTimeout)
	for {
		d, err := drainStatus(s, server)
		if err != nil {
			return err
		}
		if done(d) {
			return printDrain(s, d)
		}
		if time.Now().After(deadline) {
			return errors.Errorf("backend server %s: wait timed out after %s", server, w.WaitTimeout)
		}
		if err := s.sleep(waitPollInterval); err != nil {
			return err
		}
	}
}

func printDrain(s *session, d operator.DrainStatus) error {
	return s.emit(d, func(w io.Writer) {
		row(w, "backend server", d.Server)
		row(w, "draining", d.Draining)
		row(w, "leaving since", formatTime(d.Since))
		row(w, "idle since", formatTime(d.IdleSince))
		for _, entry := range slices.Sorted(maps.Keys(d.InFlight)) {
			row(w, "in flight at "+entry, d.InFlight[entry])
		}
		printNames(w, "not reached", d.Unreachable)
	})
}

// printNames prints a row unless the list is empty.
func printNames(w io.Writer, title string, names []string) {
	if len(names) > 0 {
		row(w, title, strings.Join(names, ", "))
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339Nano)
}

func formatMicros(us int64) string { return fmt.Sprint(time.Duration(us) * time.Microsecond) }
