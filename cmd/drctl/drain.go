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

// waitInterval is the time between two looks at the progress of a drain.
const waitInterval = 500 * time.Millisecond

type drainCmd struct {
	Start  drainStartCmd  `cmd:"" help:"Start to empty a backend server."`
	Status drainStatusCmd `cmd:"" help:"Show the progress of a drain."`
	Cancel drainCancelCmd `cmd:"" help:"Cancel a drain."`
}

// waiting is shared by the commands that can wait.
type waiting struct {
	Wait        bool          `help:"Wait until the drain has ended, or, after cancel, until it is no longer in force."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"10m"`
}

type drainStartCmd struct {
	Server string `arg:"" help:"Id of the backend server."`
	Reason string `help:"Reason, shown to other operators."`
	waiting
}

func (c *drainStartCmd) Run(s *session) error {
	if err := s.change(config.StartDrain{Server: c.Server, Reason: c.Reason}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.until(s, c.Server, func(d operator.DrainStatus) bool {
		return d.Draining && d.Idle() && !d.IdleSince.IsZero()
	})
}

type drainStatusCmd struct {
	Server string `arg:"" help:"Id of the backend server."`
	waiting
}

func (c *drainStatusCmd) Run(s *session) error {
	if c.Wait {
		return c.until(s, c.Server, func(d operator.DrainStatus) bool {
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
	baseVersion
	waiting
}

func (c *drainCancelCmd) Run(s *session) error {
	base, err := c.base(s)
	if err != nil {
		return err
	}
	if err := s.change(config.CancelDrain{Server: c.Server, BaseVersion: base}); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.until(s, c.Server, func(d operator.DrainStatus) bool { return !d.Draining })
}

func (c *drainCancelCmd) base(s *session) (uint64, error) {
	if c.BaseVersion != nil {
		return *c.BaseVersion, nil
	}
	doc, err := s.document()
	if err != nil {
		return 0, err
	}
	if have := doc.Drains[c.Server]; have != nil {
		return have.Version, nil
	}
	return 0, nil
}

func drainStatus(s *session, server string) (operator.DrainStatus, error) {
	return ask(s, func(ctx context.Context, c *operator.Client) (operator.DrainStatus, error) {
		return c.DrainStatus(ctx, server)
	})
}

// until prints the status once it is as wanted.
func (w *waiting) until(s *session, server string, wanted func(operator.DrainStatus) bool) error {
	deadline := time.Now().Add(w.WaitTimeout)
	for {
		d, err := drainStatus(s, server)
		if err != nil {
			return err
		}
		if wanted(d) {
			return printDrain(s, d)
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%s: not finished after %s", server, w.WaitTimeout)
		}
		if err := s.pause(waitInterval); err != nil {
			return err
		}
	}
}

func printDrain(s *session, d operator.DrainStatus) error {
	return s.emit(d, func(w io.Writer) {
		row(w, "backend server", d.Server)
		row(w, "draining", d.Draining)
		row(w, "leaving since", stamp(d.Since))
		row(w, "idle since", stamp(d.IdleSince))
		for _, entry := range slices.Sorted(maps.Keys(d.InFlight)) {
			row(w, "in flight at "+entry, d.InFlight[entry])
		}
		printMissing(w, "not reached", d.Unreachable)
	})
}

func printMissing(w io.Writer, what string, names []string) {
	if len(names) > 0 {
		row(w, what, strings.Join(names, ", "))
	}
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339Nano)
}

func micros(us int64) string { return fmt.Sprint(time.Duration(us) * time.Microsecond) }
