package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// cmdDrctl runs the operator command; its output is there for stdout and
// stderr. The words before "--" are ours:
// drctl [entry=ID] [code=N] -- ARGUMENTS
func cmdDrctl(s *scenario, ts *testscript.TestScript, a *arguments) error {
	split := slices.Index(a.words, "--")
	if split < 0 {
		return errors.New("usage: drctl [entry=ID] [code=N] -- ARGUMENTS")
	}
	rest := a.words[split+1:]
	a.words = a.words[:split]
	id := a.text("entry", s.bed.Deployment().EntryInstances[0].ID)
	want := int(a.number("code", 0))
	if err := a.done(); err != nil {
		return err
	}
	all, err := s.drctlArguments(id)
	if err != nil {
		return err
	}
	err = ts.Exec(drctlPath(), append(all, rest...)...)
	return exitedWith(err, want)
}

func drctlPath() string { return filepath.Join(binDir, "drctl") }

// drctlArguments are the options by which drctl reaches an entry instance.
func (s *scenario) drctlArguments(id string) ([]string, error) {
	in, err := s.bed.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	tokenFile := filepath.Join(s.dir, "operator-token")
	if err := os.WriteFile(tokenFile, []byte(testbed.OperatorToken+"\n"), 0o600); err != nil {
		return nil, err
	}
	url, caFile := s.bed.OperatorURL(in)
	out := []string{"--server", url, "--token-file", tokenFile}
	if caFile != "" {
		out = append(out, "--ca-file", caFile)
	}
	return out, nil
}

func exitedWith(err error, want int) error {
	code := 0
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		return err
	}
	if code != want {
		return errors.Errorf("exit code %d, want %d", code, want)
	}
	return nil
}

// cmdEverywhere requires that the version which one entry instance has now is
// soon in force at all others: everywhere [from=ID] [within=2s] [except=ID|ID]
func cmdEverywhere(s *scenario, ts *testscript.TestScript, a *arguments) error {
	entries := s.bed.Deployment().EntryInstances
	from := a.text("from", entries[0].ID)
	within := a.duration("within", 2*time.Second)
	except := a.list("except")
	if err := a.done(); err != nil {
		return err
	}
	started := time.Now()
	limit, cancel := s.limit(within)
	defer cancel()
	var want uint64
	// The client's circuit breaker may still drop calls to an entry instance
	// that was down, so the first call is repeated within the same limit.
	err := testbed.WaitFor(limit, within, func() (err error) {
		want, err = s.version(from)
		return err
	})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(limit)
	for _, in := range entries {
		if slices.Contains(except, in.ID) {
			continue
		}
		group.Go(func() error {
			return testbed.WaitFor(ctx, within, func() error { return s.hasVersion(in.ID, want) })
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	ts.Logf("version %d everywhere after %s", want, time.Since(started).Round(time.Millisecond))
	return nil
}

func (s *scenario) status(id string) (operator.EntryStatus, error) {
	client, err := s.bed.Operator(id)
	if err != nil {
		return operator.EntryStatus{}, err
	}
	ctx, cancel := s.limit(2 * time.Second)
	defer cancel()
	return client.Status(ctx)
}

func (s *scenario) version(id string) (uint64, error) {
	st, err := s.status(id)
	return st.ConfigVersion, err
}

func (s *scenario) hasVersion(id string, want uint64) error {
	have, err := s.version(id)
	if err != nil {
		return err
	}
	if have < want {
		return errors.Errorf("%s has version %d, not %d", id, have, want)
	}
	return nil
}

// cmdFree requires free slots at an entry instance: free ID service=S [min=1]
func cmdFree(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.word("entry instance")
	service := a.text("service", "")
	least := int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	st, err := s.status(id)
	if err != nil {
		return err
	}
	if st.FreeSlots[service] < least {
		return errors.Errorf("%s has free slots %s", id, countsOf(st.FreeSlots))
	}
	return nil
}

func countsOf(m map[string]int) string {
	var out []string
	for name, n := range m {
		out = append(out, name+"="+strconv.Itoa(n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
