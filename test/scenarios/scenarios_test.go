// Package scenarios tests deployments end to end: it runs all processes of a
// deployment, injects faults, and checks what callers, backend servers and
// operators observe. README.md lists the commands of the scripts in testdata.
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
	// maxDeployments limits the deployments that run concurrently. Each has eleven
	// processes; with more of them, results would depend on the load of the host.
	maxDeployments = 3
	// scriptSetVariable is the environment variable that selects scripts by the
	// value of their "# run: " line. Unset runs "always"; "all" adds the scripts
	// that take too long for every test run; any other value, such as
	// "known-red", runs only the scripts with that value.
	scriptSetVariable = "SCENARIOS"
	// logDirVariable is the environment variable with a directory in which the
	// logs of the processes are kept.
	logDirVariable = "SCENARIO_LOGS"
	// runHeader is the prefix of the header line that names the set of a script.
	runHeader = "# run: "
)

// binDir is the directory of the programs, which are built once per test run.
var binDir string

// repositoryRoot is the root of the module, relative to this package.
const repositoryRoot = "../.."

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
	// drdemo is not built because no script uses it.
	args := []string{"build", "-p", "2", "-o", dir}
	for _, name := range []string{"drentry", "drctl", "drplatform", "drbackend", "drlink"} {
		args = append(args, "./cmd/"+name)
	}
	build := exec.Command("go", args...)
	build.Dir = repositoryRoot
	if out, err := build.CombinedOutput(); err != nil {
		return 0, errors.Wrapf(err, "build the programs: %s", out)
	}
	return m.Run(), nil
}

// TestScenarios checks that the invariants of docs/design.md section 1.2 hold
// under the faults of section 1.5. The header of each script names which ones.
func TestScenarios(t *testing.T) {
	files, err := selectScripts(os.Getenv(scriptSetVariable))
	if err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{}, maxDeployments)
	testscript.Run(t, testscript.Params{
		Files: files,
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			running <- struct{}{}
			env.Defer(func() { <-running })
			return setup(env)
		},
		RequireUniqueNames: true,
	})
}

func setup(env *testscript.Env) error {
	dir := env.WorkDir
	if logDir := os.Getenv(logDirVariable); logDir != "" {
		dir = filepath.Join(logDir, filepath.Base(env.WorkDir))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	deploy, err := filepath.Abs(filepath.Join(repositoryRoot, "deploy"))
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

// selectScripts returns the scripts that run for a value of scriptSetVariable.
func selectScripts(set string) ([]string, error) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		return nil, err
	}
	selected := map[string]bool{"always": set == "" || set == "all", set: true}
	var out []string
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := checkHeader(string(data)); err != nil {
			return nil, errors.Wrap(err, file)
		}
		_, afterHeader, _ := strings.Cut(string(data), runHeader)
		value, _, _ := strings.Cut(afterHeader, "\n")
		if selected[value] {
			out = append(out, file)
		}
	}
	if len(out) == 0 {
		return nil, errors.Errorf("no script in the set %q", set)
	}
	return out, nil
}

// checkHeader requires the header lines that name the promise, the fault and the
// set of a script.
func checkHeader(script string) error {
	for _, prefix := range []string{"# promise: ", "# fault: ", runHeader} {
		if !strings.Contains(script, prefix) {
			return errors.Errorf("the header has no line that starts with %q", prefix)
		}
	}
	return nil
}
