// Package scenarios runs whole deployments as separate processes and checks
// what callers, backend servers and operators see while parts fail. The scripts
// in testdata are written in the language of README.md.
package scenarios

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxBeds bounds the deployments that run at one time. Each one is eleven
	// processes, and more of them would measure the machine.
	maxBeds = 3
	// setVariable selects the scripts by the word after "# run: ": all adds the
	// scripts that are too long for every test run; any other word runs only
	// its own, such as known-red.
	setVariable = "SCENARIOS"
	// logsVariable names a folder that keeps the logs of the processes.
	logsVariable = "SCENARIO_LOGS"
	// runMark begins the header line that says when a script runs.
	runMark = "# run: "
)

// binDir holds the programs, built once for a test run.
var binDir string

// repository is the root of the module, seen from this folder.
const repository = "../.."

func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "scenarios")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	// The package list leaves out drdemo, which no script uses.
	args := []string{"build", "-p", "2", "-o", dir}
	for _, name := range []string{"drentry", "drctl", "drplatform", "drbackend", "drlink"} {
		args = append(args, "./cmd/"+name)
	}
	build := exec.Command("go", args...)
	build.Dir = repository
	if out, err := build.CombinedOutput(); err != nil {
		return 0, errors.Wrapf(err, "build the programs: %s", out)
	}
	return m.Run(), nil
}

// TestScenarios guards the invariants of section 1.2 of the design page
// against the faults of section 1.5. Each script names its own.
func TestScenarios(t *testing.T) {
	files, err := selectScripts(os.Getenv(setVariable))
	if err != nil {
		t.Fatal(err)
	}
	beds := make(chan struct{}, maxBeds)
	testscript.Run(t, testscript.Params{
		Files: files,
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			beds <- struct{}{}
			env.Defer(func() { <-beds })
			return setup(env)
		},
		RequireUniqueNames: true,
	})
}

func setup(env *testscript.Env) error {
	dir := env.WorkDir
	if keep := os.Getenv(logsVariable); keep != "" {
		dir = filepath.Join(keep, filepath.Base(env.WorkDir))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	deploy, err := filepath.Abs(filepath.Join(repository, "deploy"))
	if err != nil {
		return err
	}
	env.Setenv("DEPLOY", deploy)
	env.Setenv("BED", dir)
	ctx, cancel := context.WithCancel(context.Background())
	s := newScenario(ctx, dir)
	env.Values[scenarioKey{}] = s
	env.Defer(func() {
		cancel()
		s.close()
	})
	return nil
}

// selectScripts returns the scripts of a set.
func selectScripts(set string) ([]string, error) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		return nil, err
	}
	wanted := map[string]bool{"always": set == "" || set == "all", set: true}
	var out []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := checkHeader(string(data)); err != nil {
			return nil, errors.Wrap(err, file)
		}
		_, rest, _ := strings.Cut(string(data), runMark)
		word, _, _ := strings.Cut(rest, "\n")
		if wanted[word] {
			out = append(out, file)
		}
	}
	if len(out) == 0 {
		return nil, errors.Errorf("no script of the set %q", set)
	}
	return out, nil
}

// checkHeader requires that a script says what it proves.
func checkHeader(script string) error {
	for _, line := range []string{"# promise: ", "# fault: ", runMark} {
		if !strings.Contains(script, line) {
			return errors.Errorf("the header lacks a line %q", line)
		}
	}
	return nil
}
