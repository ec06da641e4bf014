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

func (s *scenario) limit(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, d)
}

func (s *scenario) stop(id string, within time.Duration) error {
	ctx, cancel := s.limit(within)
	defer cancel()
	return s.bed.Stop(ctx, id)
}

// caller returns the caller of a failure domain that direct calls share.
func (s *scenario) caller(domain string) (*loadgen.Caller, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[domain]; ok {
		return c, nil
	}
	c, err := s.bed.Caller(domain, 0, s.token)
	if err != nil {
		return nil, err
	}
	s.callers[domain] = c
	return c, nil
}

// keyValue returns the key with a name; a new name makes a new key.
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

// cmdKey makes a key whose creation time is not now:
// key NAME [age=25h] [ahead=11m], or takes one from a refusal: key NAME next_of=CALL
func cmdKey(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.word("name")
	shift := a.duration("ahead", 0) - a.duration("age", 0)
	from, taken := a.take("next_of")
	if err := a.done(); err != nil {
		return err
	}
	if !taken {
		s.setKey(name, keyAt(time.Now().Add(shift)))
		return nil
	}
	j, err := s.finished(from)
	if err != nil {
		return err
	}
	if len(j.results) != 1 || j.results[0].NextKey == "" {
		return errors.Errorf("%s offered no next_key", from)
	}
	s.setKey(name, j.results[0].NextKey)
	return nil
}

// keyAt is a UUID version 7 with a creation time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// cmdIssueKey asks an entry instance for a key: issuekey NAME service=S entry=ID
func cmdIssueKey(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.word("name")
	service := a.text("service", "")
	in, err := s.bed.EntryInstance(a.text("entry", ""))
	a.fail(err)
	if err := a.done(); err != nil {
		return err
	}
	c, err := s.caller(in.FailureDomain)
	if err != nil {
		return err
	}
	ctx, cancel := s.limit(5 * time.Second)
	defer cancel()
	key, err := c.IssueKey(ctx, service, in.CallerAddr)
	if err != nil {
		return err
	}
	s.setKey(name, key)
	return nil
}

// cmdCall sends one request. With entry= it makes one attempt there; without,
// it acts as a caller that looks up and retries.
// call NAME service=S [key=K] [entry=ID] [domain=D] [method=M] [path=/p]
// [body=TEXT] [timeout=5s] [header=NAME:VALUE|NAME:VALUE] [&]
func cmdCall(s *scenario, ts *testscript.TestScript, a *arguments) error {
	name := a.word("name")
	keyName := a.pairs["key"]
	entryID, direct := a.take("entry")
	domain := a.text("domain", s.bed.Deployment().FailureDomains[0].Name)
	r, err := s.request(a)
	a.fail(err)
	if err := a.done(); err != nil {
		return err
	}
	if keyName != "" {
		ts.Setenv(keyName, r.Key) // scripts look for the key in outputs
	}
	addr := ""
	if direct {
		in, err := s.bed.EntryInstance(entryID)
		if err != nil {
			return err
		}
		domain, addr = in.FailureDomain, in.CallerAddr
	}
	c, err := s.caller(domain)
	if err != nil {
		return err
	}
	err = s.start(name, a.background, func() ([]loadgen.Result, error) {
		if direct {
			return []loadgen.Result{c.CallEntry(s.ctx, r, addr)}, nil
		}
		return []loadgen.Result{c.Do(s.ctx, r)}, nil
	})
	if err == nil && !a.background {
		j, _ := s.finished(name)
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
		Header:  headers(a.list("header")),
	}
	svc, err := s.service(r.Service)
	if err != nil {
		return r, err
	}
	r.Timeout = a.duration("timeout", svc.Timeout.Std())
	otherwise := http.MethodGet
	if !svc.Idempotent || len(r.Body) > 0 {
		otherwise = http.MethodPost
	}
	r.Method = a.text("method", otherwise)
	return r, nil
}

func (s *scenario) service(name string) (*config.Service, error) {
	svc, ok := s.bed.FindService(name)
	if !ok {
		return nil, errors.Errorf("the contract has no service %q", name)
	}
	return svc, nil
}

func headers(list []string) http.Header {
	out := http.Header{}
	for _, one := range list {
		name, value, _ := strings.Cut(one, ":")
		out.Add(name, value)
	}
	return out
}

// cmdLoad sends requests at a fixed rate as callers do:
// load NAME service=S rate=50 for=5s [domains=D|D] [callers=2] [timeout=2s]
// [header=NAME:VALUE] [body=BYTES] [direct=ID] [&]
// With direct= one caller that all such loads share knows only this entry
// instance, uses no link, and keeps its lookups for their TTL.
func cmdLoad(s *scenario, ts *testscript.TestScript, a *arguments) error {
	name := a.word("name")
	stream := loadgen.Stream{
		Service:  a.text("service", ""),
		Rate:     a.number("rate", 20),
		BodySize: int(a.number("body", 0)),
		Header:   headers(a.list("header")),
	}
	svc, err := s.service(stream.Service)
	if err != nil {
		return err
	}
	stream.AtMostOnce = !svc.Idempotent
	stream.Timeout = a.duration("timeout", svc.Timeout.Std())
	length := a.duration("for", 5*time.Second)
	callers, err := s.loadCallers(a.list("domains"), int(a.number("callers", 2)))
	a.fail(err)
	if id, direct := a.take("direct"); direct {
		c, err := s.directCaller(id)
		a.fail(err)
		callers = []*loadgen.Caller{c}
	}
	if err := a.done(); err != nil {
		return err
	}
	return s.start(name, a.background, func() ([]loadgen.Result, error) {
		return loadgen.Run(s.ctx, callers, []loadgen.Stream{stream}, length), nil
	})
}

func (s *scenario) directCaller(id string) (*loadgen.Caller, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "direct/" + id
	if c, ok := s.callers[name]; ok {
		return c, nil
	}
	c, err := s.bed.DirectCaller(id, s.token)
	s.callers[name] = c
	return c, err
}

// loadCallers returns callers of the named failure domains in turn, or of all.
func (s *scenario) loadCallers(domains []string, each int) ([]*loadgen.Caller, error) {
	if domains == nil {
		return s.bed.Callers(each, s.token)
	}
	var out []*loadgen.Caller
	for i := range each {
		for _, domain := range domains {
			c, err := s.bed.Caller(domain, i, s.token)
			if err != nil {
				return nil, err
			}
			out = append(out, c)
		}
	}
	return out, nil
}

// cmdRetried makes a call and requires an answer. Under "eventually" it sends
// the same request until it is answered, with a name of its own each time:
// retried NAME ARGUMENTS OF CALL
func cmdRetried(s *scenario, ts *testscript.TestScript, a *arguments) error {
	if len(a.words) == 0 {
		return errors.New("name is missing")
	}
	s.mu.Lock()
	a.words[0] += fmt.Sprintf("-%d", len(s.jobs))
	s.mu.Unlock()
	name := a.words[0]
	if err := cmdCall(s, ts, a); err != nil {
		return err
	}
	j, err := s.finished(name)
	if err != nil {
		return err
	}
	return expectEach(j.results, parseArguments([]string{"outcome=answered|recorded"}))
}
