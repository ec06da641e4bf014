package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// withTimeout returns a context of the script that expires after d.
func (s *scenario) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, d)
}

func (s *scenario) stopEntry(id string, within time.Duration) error {
	ctx, cancel := s.withTimeout(within)
	defer cancel()
	return s.testbed.Stop(ctx, id)
}

// caller returns the caller that all "call" commands of a failure domain share.
func (s *scenario) caller(domain string) (*loadgen.Caller, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[domain]; ok {
		return c, nil
	}
	c, err := s.testbed.Caller(domain, 0, s.token)
	if err != nil {
		return nil, err
	}
	s.callers[domain] = c
	return c, nil
}

// keyValue returns the key with a name and creates it if necessary.
func (s *scenario) keyValue(name string) string {
	if name == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.keys[name]; !ok {
		s.keys[name] = loadgen.NewKey()
	}
	return s.keys[name]
}

func (s *scenario) setKey(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys[name] = value
}

// cmdKey creates a key whose creation time is in the past or the future:
// key NAME [age=25h] [ahead=11m]. With next_of= it takes the key that a refusal
// offered: key NAME next_of=CALL
func cmdKey(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.positional("name")
	shift := a.duration("ahead", 0) - a.duration("age", 0)
	refusedCall, hasNext := a.take("next_of")
	if err := a.done(); err != nil {
		return err
	}
	if !hasNext {
		s.setKey(name, newKeyAt(time.Now().Add(shift)))
		return nil
	}
	j, err := s.finishedJob(refusedCall)
	if err != nil {
		return err
	}
	if len(j.results) != 1 || j.results[0].NextKey == "" {
		return errors.Errorf("%s has no next_key", refusedCall)
	}
	s.setKey(name, j.results[0].NextKey)
	return nil
}

// newKeyAt returns a UUID version 7 with a creation time.
func newKeyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// cmdIssueKey requests a key from an entry instance: issuekey NAME service=S entry=ID
func cmdIssueKey(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.positional("name")
	service := a.text("service", "")
	in, err := s.testbed.EntryInstance(a.text("entry", ""))
	a.recordError(err)
	if err := a.done(); err != nil {
		return err
	}
	c, err := s.caller(in.FailureDomain)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout(5 * time.Second)
	defer cancel()
	key, err := c.IssueKey(ctx, service, in.CallerAddr)
	if err != nil {
		return err
	}
	s.setKey(name, key)
	return nil
}

// cmdCall sends one request. With entry= it makes one attempt at that entry
// instance; without, it does lookups and retries as callers do.
// call NAME service=S [key=K] [entry=ID] [domain=D] [method=M] [path=/p]
// [body=TEXT] [timeout=5s] [header=NAME:VALUE|NAME:VALUE] [&]
func cmdCall(s *scenario, ts *testscript.TestScript, a *arguments) error {
	name := a.positional("name")
	keyName := a.named["key"]
	entryID, direct := a.take("entry")
	domain := a.text("domain", s.testbed.Deployment().FailureDomains[0].Name)
	r, err := s.request(a)
	a.recordError(err)
	if err := a.done(); err != nil {
		return err
	}
	if keyName != "" {
		ts.Setenv(keyName, r.Key) // scripts match the key in outputs
	}
	addr := ""
	if direct {
		in, err := s.testbed.EntryInstance(entryID)
		if err != nil {
			return err
		}
		domain, addr = in.FailureDomain, in.CallerAddr
	}
	c, err := s.caller(domain)
	if err != nil {
		return err
	}
	err = s.startJob(name, a.background, func() ([]loadgen.Result, error) {
		if direct {
			return []loadgen.Result{c.CallEntry(s.ctx, r, addr)}, nil
		}
		return []loadgen.Result{c.Do(s.ctx, r)}, nil
	})
	if err == nil && !a.background {
		j, _ := s.finishedJob(name)
		ts.Logf("%s: %s", name, describe(j.results))
	}
	return err
}

func (s *scenario) request(a *arguments) (loadgen.Request, error) {
	r := loadgen.Request{
		Service: a.text("service", ""),
		Path:    a.text("path", "/item/1"),
		Key:     s.keyValue(a.text("key", "")),
		Body:    []byte(a.text("body", "")),
		Header:  parseHeaders(a.list("header")),
	}
	svc, err := s.findService(r.Service)
	if err != nil {
		return r, err
	}
	r.Timeout = a.duration("timeout", svc.Timeout.Std())
	defaultMethod := http.MethodGet
	if !svc.Idempotent || len(r.Body) > 0 {
		defaultMethod = http.MethodPost
	}
	r.Method = a.text("method", defaultMethod)
	return r, nil
}

func (s *scenario) findService(name string) (*config.Service, error) {
	svc, ok := s.testbed.FindService(name)
	if !ok {
		return nil, errors.Errorf("the contract has no service %q", name)
	}
	return svc, nil
}

func parseHeaders(list []string) http.Header {
	out := http.Header{}
	for _, pair := range list {
		name, value, _ := strings.Cut(pair, ":")
		out.Add(name, value)
	}
	return out
}

// cmdLoad sends requests at a fixed rate, with lookups and retries:
// load NAME service=S rate=50 for=5s [domains=D|D] [callers=2] [timeout=2s]
// [header=NAME:VALUE] [body=BYTES] [direct=ID] [&]
// With direct= it uses a single caller that connects to the original process of
// this entry instance without a link. All loads with the same direct= share the
// caller and its cached lookups.
func cmdLoad(s *scenario, ts *testscript.TestScript, a *arguments) error {
	name := a.positional("name")
	stream := loadgen.Stream{
		Service:  a.text("service", ""),
		Rate:     a.number("rate", 20),
		BodySize: int(a.number("body", 0)),
		Header:   parseHeaders(a.list("header")),
	}
	svc, err := s.findService(stream.Service)
	if err != nil {
		return err
	}
	stream.AtMostOnce = !svc.Idempotent
	stream.Timeout = a.duration("timeout", svc.Timeout.Std())
	runTime := a.duration("for", 5*time.Second)
	callers, err := s.loadCallers(a.list("domains"), int(a.number("callers", 2)))
	a.recordError(err)
	if id, direct := a.take("direct"); direct {
		c, err := s.directCaller(id)
		a.recordError(err)
		callers = []*loadgen.Caller{c}
	}
	if err := a.done(); err != nil {
		return err
	}
	return s.startJob(name, a.background, func() ([]loadgen.Result, error) {
		return loadgen.Run(s.ctx, callers, []loadgen.Stream{stream}, runTime), nil
	})
}

func (s *scenario) directCaller(id string) (*loadgen.Caller, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "direct/" + id
	if c, ok := s.callers[name]; ok {
		return c, nil
	}
	c, err := s.testbed.DirectCaller(id, s.token)
	s.callers[name] = c
	return c, err
}

// loadCallers returns callers of the given failure domains, alternating between
// the domains; nil means all failure domains.
func (s *scenario) loadCallers(domains []string, perDomain int) ([]*loadgen.Caller, error) {
	if domains == nil {
		return s.testbed.Callers(perDomain, s.token)
	}
	var out []*loadgen.Caller
	for i := range perDomain {
		for _, domain := range domains {
			c, err := s.testbed.Caller(domain, i, s.token)
			if err != nil {
				return nil, err
			}
			out = append(out, c)
		}
	}
	return out, nil
}

// cmdRetried makes a call and requires an answer. Each invocation appends a new
// suffix to the name, so that "eventually" can repeat the request until it is
// answered: retried NAME ARGUMENTS OF CALL
func cmdRetried(s *scenario, ts *testscript.TestScript, a *arguments) error {
	if len(a.positionals) == 0 {
		return errors.New("name is missing")
	}
	s.mu.Lock()
	a.positionals[0] += fmt.Sprintf("-%d", len(s.jobs))
	s.mu.Unlock()
	name := a.positionals[0]
	if err := cmdCall(s, ts, a); err != nil {
		return err
	}
	j, err := s.finishedJob(name)
	if err != nil {
		return err
	}
	return expectEachResult(j.results, parseArguments([]string{"outcome=answered|recorded"}))
}
