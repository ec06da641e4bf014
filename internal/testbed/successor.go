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

// Port offsets of a successor, above those of the links. The last port of the
// range is held by layout.rangeListener.
const (
	successorCallerOffset = portsPerTestbed - 4 + iota
	successorPeerOffset
	successorOperatorOffset
)

// SuccessorName returns the name of the process that StartSuccessor starts for
// an entry instance.
func SuccessorName(id string) string { return id + "-successor" }

// StartSuccessor starts a second process with the id of an entry instance while
// the first one still runs, and redirects new connections of all links to it.
// Two processes cannot listen on one address, so the successor listens on
// separate ports; the instance must therefore be the only one in its failure
// domain, so that all its peers and callers reach it through links.
func (t *Testbed) StartSuccessor(ctx context.Context, id string) error {
	in, err := t.EntryInstance(id)
	if err != nil {
		return err
	}
	for _, other := range t.layout.deployment.EntryInstances {
		if other.ID != id && other.FailureDomain == in.FailureDomain {
			return errors.Errorf("%s is reached without a link by %s", id, other.ID)
		}
	}
	s := t.layout.entrySettings(in, false, t.opts.LookupTTL)
	s.LogLevel = t.opts.LogLevel
	s.CallerAddr = withPort(in.CallerAddr, t.layout.port(successorCallerOffset))
	s.PeerAddr = withPort(in.PeerAddr, t.layout.port(successorPeerOffset))
	s.OperatorAddr = withPort(in.OperatorAddr, t.layout.port(successorOperatorOffset))
	if err := t.startProgram(SuccessorName(id), "drentry", s); err != nil {
		return err
	}
	if err := waitTCP(ctx, s.PeerAddr); err != nil {
		return err
	}
	return t.moveLinks(ctx, in, config.EntryInstance{CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr})
}

// moveLinks redirects the links to an entry instance to other addresses.
func (t *Testbed) moveLinks(ctx context.Context, from, to config.EntryInstance) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxLinkRequests)
	for _, name := range t.LinkNames() {
		parts := strings.Split(name, "/")
		if len(parts) != 3 || parts[2] != from.ID {
			continue
		}
		target := to.CallerAddr
		if parts[0] == "peer" {
			target = to.PeerAddr
		}
		group.Go(func() error {
			return t.SetLinkState(ctx, url.QueryEscape(name), map[string]any{"target": target})
		})
	}
	return group.Wait()
}

// DirectCaller returns a caller that connects to the original process of an
// entry instance without a link, like a caller with a stale route after a
// replacement.
func (t *Testbed) DirectCaller(id, token string) (*loadgen.Caller, error) {
	in, err := t.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	c, err := t.Caller(in.FailureDomain, 0, token)
	if err != nil {
		return nil, err
	}
	c.Seeds = []string{in.CallerAddr}
	c.AddressMap = nil
	return c, nil
}

// ExitCode waits until a process has exited and returns its exit code.
func (t *Testbed) ExitCode(ctx context.Context, name string, within time.Duration) (int, error) {
	p, err := t.process(name)
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
