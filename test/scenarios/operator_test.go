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

// cmdDrctl runs drctl, whose output the commands stdout and stderr can match.
// Only the arguments after "--" are passed to drctl:
// drctl [entry=ID] [code=N] -- ARGUMENTS
func cmdDrctl(s *scenario, ts *testscript.TestScript, a *arguments) error {
	split := slices.Index(a.positionals, "--")
	if split < 0 {
		return errors.New("usage: drctl [entry=ID] [code=N] -- ARGUMENTS")
	}
	rest := a.positionals[split+1:]
	a.positionals = a.positionals[:split]
	id := a.text("entry", s.testbed.Deployment().EntryInstances[0].ID)
	want := int(a.number("code", 0))
	if err := a.done(); err != nil {
		return err
	}
	all, err := s.drctlArguments(id)
	if err != nil {
		return err
	}
	err = ts.Exec(drctlPath(), append(all, rest...)...)
	return checkExitCode(err, want)
}

func drctlPath() string { return filepath.Join(binDir, "drctl") }

// drctlArguments returns the options with which drctl connects to an entry
// instance.
func (s *scenario) drctlArguments(id string) ([]string, error) {
	in, err := s.testbed.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	tokenFile := filepath.Join(s.dir, "operator-token")
	if err := os.WriteFile(tokenFile, []byte(testbed.OperatorToken+"\n"), 0o600); err != nil {
		return nil, err
	}
	url, caFile := s.testbed.OperatorURL(in)
	out := []string{"--server", url, "--token-file", tokenFile}
	if caFile != "" {
		out = append(out, "--ca-file", caFile)
	}
	return out, nil
}

func checkExitCode(err error, want int) error {
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

// cmdEverywhere requires that all entry instances reach the current configuration
// version of one of them within a time: everywhere [from=ID] [within=2s] [except=ID|ID]
func cmdEverywhere(s *scenario, ts *testscript.TestScript, a *arguments) error {
	entries := s.testbed.Deployment().EntryInstances
	from := a.text("from", entries[0].ID)
	within := a.duration("within", 2*time.Second)
	except := a.list("except")
	if err := a.done(); err != nil {
		return err
	}
	started := time.Now()
	ctx, cancel := s.withTimeout(within)
	defer cancel()
	var want uint64
	// The client's circuit breaker may still reject calls to an entry instance
	// that was down, so the first call is retried within the same timeout.
	err := testbed.WaitFor(ctx, within, func() (err error) {
		want, err = s.version(from)
		return err
	})
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, in := range entries {
		if slices.Contains(except, in.ID) {
			continue
		}
		group.Go(func() error {
			return testbed.WaitFor(groupCtx, within, func() error { return s.hasVersion(in.ID, want) })
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	ts.Logf("version %d on all entry instances after %s", want, time.Since(started).Round(time.Millisecond))
	return nil
}

func (s *scenario) status(id string) (operator.EntryStatus, error) {
	client, err := s.testbed.Operator(id)
	if err != nil {
		return operator.EntryStatus{}, err
	}
	ctx, cancel := s.withTimeout(2 * time.Second)
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
		return errors.Errorf("%s has version %d, want at least %d", id, have, want)
	}
	return nil
}

// cmdFree requires that an entry instance reports free slots of a service:
// free ID service=S [min=1]
func cmdFree(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.positional("entry instance")
	service := a.text("service", "")
	minSlots := int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	st, err := s.status(id)
	if err != nil {
		return err
	}
	if st.FreeSlots[service] < minSlots {
		return errors.Errorf("%s has free slots %s", id, formatCounts(st.FreeSlots))
	}
	return nil
}

func formatCounts(m map[string]int) string {
	var out []string
	for name, n := range m {
		out = append(out, name+"="+strconv.Itoa(n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
