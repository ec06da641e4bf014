package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// stepTimeout bounds each step of a test. It is below the 5.5 s after which go-zero
// raises again a stop signal that only it has caught.
const stepTimeout = 4 * time.Second

// startingDaemon is a process that waits for its settings.
type startingDaemon struct {
	t        *testing.T
	cmd      *exec.Cmd
	lines    chan string // output
	settings string      // named pipe
}

func buildDaemons(t *testing.T, names ...string) string {
	t.Helper()
	bin := t.TempDir()
	for _, name := range names {
		out, err := exec.Command("go", "build", "-o", bin, "../"+name).CombinedOutput()
		require.NoError(t, err, "%s", out)
	}
	return bin
}

func freeAddr(t *testing.T) string {
	addr, err := testbed.FreeAddr()
	require.NoError(t, err)
	return addr
}

func startDaemon(t *testing.T, program string, args ...string) *startingDaemon {
	d := &startingDaemon{t: t, lines: make(chan string, 10_000), settings: filepath.Join(t.TempDir(), "settings")}
	require.NoError(t, syscall.Mkfifo(d.settings, 0o600))
	d.cmd = exec.Command(program, append([]string{"--settings", d.settings}, args...)...)
	d.cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	r, w, err := os.Pipe()
	require.NoError(t, err)
	d.cmd.Stdout, d.cmd.Stderr = w, w
	require.NoError(t, d.cmd.Start())
	require.NoError(t, w.Close())
	go func() {
		defer close(d.lines)
		for s := bufio.NewScanner(r); s.Scan(); {
			d.lines <- s.Text()
		}
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait() // awaitExit has waited before, unless the test failed
		_ = r.Close()
	})
	return d
}

func (d *startingDaemon) awaitLine(part string) {
	d.t.Helper()
	timeout := time.After(stepTimeout)
	var seen []string
	for {
		select {
		case line, ok := <-d.lines:
			if strings.Contains(line, part) {
				return
			}
			require.True(d.t, ok, "the process ended before %q:\n%s", part, strings.Join(seen, "\n"))
			if !strings.HasPrefix(line, "init ") {
				seen = append(seen, line)
			}
		case <-timeout:
			require.Fail(d.t, "no such line", "%q:\n%s", part, strings.Join(seen, "\n"))
		}
	}
}

// openSettings returns once the process reads its settings.
func (d *startingDaemon) openSettings() *os.File {
	var w *os.File
	require.Eventually(d.t, func() bool {
		var err error
		w, err = os.OpenFile(d.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails without a reader
		return err == nil
	}, stepTimeout, time.Millisecond, "the process does not read its settings")
	return w
}

func (d *startingDaemon) awaitExit() {
	d.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- d.cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(d.t, err)
	case <-time.After(stepTimeout):
		require.Fail(d.t, "the process does not stop")
	}
}

// signalAtStart sends sig while packages are being initialised or while the
// process reads its settings, and then provides the settings.
func (d *startingDaemon) signalAtStart(atInitialisation bool, sig os.Signal, settings string) {
	if atInitialisation {
		// reflect comes before every package whose initialisation takes long.
		d.awaitLine("init reflect ")
		require.NoError(d.t, d.cmd.Process.Signal(sig))
	}
	w := d.openSettings()
	if !atInitialisation {
		require.NoError(d.t, d.cmd.Process.Signal(sig))
	}
	_, err := io.WriteString(w, settings)
	require.NoError(d.t, err)
	require.NoError(d.t, w.Close())
}

// Guards against a stop signal that ends a daemon, or is lost, because it arrives
// while the process starts.
func TestStopSignalDuringStart(t *testing.T) {
	store, err := platformstandin.Start(platformstandin.DefaultSettings())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, store.Close()) })
	settings := map[string]string{
		"drentry": fmt.Sprintf(`{"id": "e1", "failure_domain": "a", "operator_token": "t", "platform_url": "http://%s", "lookup_ttl": "100ms",
			"caller_addr": %q, "peer_addr": %q, "operator_addr": %q}`, store.Addr(), freeAddr(t), freeAddr(t), freeAddr(t)),
		"drplatform": "{}", "drbackend": "{}", "drlink": "{}",
	}
	bin := buildDaemons(t, slices.Collect(maps.Keys(settings))...)
	for name, text := range settings {
		for _, atInitialisation := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at initialisation %t", name, atInitialisation), func(t *testing.T) {
				d := startDaemon(t, filepath.Join(bin, name))
				d.signalAtStart(atInitialisation, syscall.SIGTERM, text)
				d.awaitExit()
			})
		}
	}
}

// Guards against a signal that ends an entry instance, or is lost, because it arrives
// while the process starts.
func TestSignalsDuringStart(t *testing.T) {
	program := filepath.Join(buildDaemons(t, "drgate"), "drgate")
	node := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(node, standin.InstanceSettings(fleet.InstanceConfig{
		ID: "n1", FailureDomain: "north-a", Region: "north", ClientAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0",
		StoreAddr: "127.0.0.1:1", HeartbeatInterval: time.Second, Bounds: fleet.DefaultBounds(),
	}), 0o600))
	const settings = `{"lookup_ttl": "100ms"}`
	for _, atInitialisation := range []bool{true, false} {
		t.Run(fmt.Sprintf("SIGHUP, at initialisation %t", atInitialisation), func(t *testing.T) {
			d := startDaemon(t, program, "--node", node)
			d.signalAtStart(atInitialisation, syscall.SIGHUP, settings)
			d.awaitLine("settings reloaded")
			require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
			d.awaitExit()
		})
		t.Run(fmt.Sprintf("SIGTERM, at initialisation %t", atInitialisation), func(t *testing.T) {
			d := startDaemon(t, program, "--node", node)
			d.signalAtStart(atInitialisation, syscall.SIGTERM, settings)
			d.awaitLine(`"stopped"`)
			d.awaitExit()
		})
	}
}
