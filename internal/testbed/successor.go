package testbed

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Ports of a successor, as offsets from the base port. They are above those of
// the links; the last port of the range is the guard.
const (
	successorCallerOffset = portsPerBed - 4 + iota
	successorPeerOffset
	successorOperatorOffset
)

// SuccessorName is the name of the process that takes over the seat of an entry
// instance.
func SuccessorName(id string) string { return id + "-successor" }

// StartSuccessor starts a second process at the seat of an entry instance,
// beside the first one, and leads new connections of all links to it. Two
// processes cannot listen on one address, so it listens on ports of its own;
// the instance must therefore be alone in its failure domain, where all its
// peers and callers use links.
func (b *Testbed) StartSuccessor(ctx context.Context, id string) error {
	in, err := b.EntryInstance(id)
	if err != nil {
		return err
	}
	for _, other := range b.layout.deployment.EntryInstances {
		if other.ID != id && other.FailureDomain == in.FailureDomain {
			return errors.Errorf("%s is reached without a link by %s", id, other.ID)
		}
	}
	s := b.layout.entrySettings(in, false, b.opts.LookupTTL)
	s.LogLevel = b.opts.LogLevel
	s.CallerAddr = withPort(in.CallerAddr, b.layout.port(successorCallerOffset))
	s.PeerAddr = withPort(in.PeerAddr, b.layout.port(successorPeerOffset))
	s.OperatorAddr = withPort(in.OperatorAddr, b.layout.port(successorOperatorOffset))
	if err := b.startProgram(SuccessorName(id), "drentry", s); err != nil {
		return err
	}
	if err := waitTCP(ctx, s.PeerAddr); err != nil {
		return err
	}
	return b.moveLinks(ctx, in, config.EntryInstance{CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr})
}

// moveLinks leads the links to an entry instance to other addresses.
func (b *Testbed) moveLinks(ctx context.Context, from, to config.EntryInstance) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(linkChanges)
	for _, name := range b.LinkNames() {
		parts := strings.Split(name, "/")
		if len(parts) != 3 || parts[2] != from.ID {
			continue
		}
		target := to.CallerAddr
		if parts[0] == "peer" {
			target = to.PeerAddr
		}
		group.Go(func() error {
			return b.SetLinkState(ctx, url.QueryEscape(name), map[string]any{"target": target})
		})
	}
	return group.Wait()
}

// DirectCaller returns a caller that reaches the process of an entry instance
// without a link, as one whose route still leads to it after a replacement.
func (b *Testbed) DirectCaller(id, token string) (*loadgen.Caller, error) {
	in, err := b.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	c, err := b.Caller(in.FailureDomain, 0, token)
	if err != nil {
		return nil, err
	}
	c.Seeds = []string{in.CallerAddr}
	c.AddressMap = nil
	return c, nil
}

// ExitCode waits for the end of a process and returns its exit code.
func (b *Testbed) ExitCode(ctx context.Context, name string, within time.Duration) (int, error) {
	p, err := b.process(name)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(within):
		return 0, errors.Errorf("%s still runs after %s", name, within)
	}
}
