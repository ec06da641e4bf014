// Package clients tests entry instances against clients that keep to no limit. Each
// test starts the programs on loopback addresses and checks that the process lives,
// that its memory and descriptors stay within those of its machine, and that an
// ordinary request is answered afterwards. It checks no times.
package clients

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

const (
	// machineMemory and machineFiles are the limits of the machine that the settings of
	// the tests describe. They are lowered, so that a small crowd exceeds them.
	machineMemory = 96_000_000
	machineFiles  = 1200
	// bufferedBytes and callerConnections are the settings that fit such a machine.
	bufferedBytes     = 16 << 20
	callerConnections = 500
	// killMemory ends a run in which a process takes a multiple of its memory.
	killMemory = 8 * machineMemory
	// patience bounds the waits of the rig; none of them is checked for its length.
	patience = time.Minute
	// backendSlots are more than the requests of a crowd.
	backendSlots = 10_000
)

const (
	host        = "shop.example"
	heldPath    = "/held/x"
	promptPath  = "/prompt/x"
	entryToken  = "kallitexnis-token"
	entryPath   = "/v1/call/catalogue/x"
	entrySample = "kallitexnis"
)

// binDir is the directory of the programs, which are built once.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	args := []string{"build", "-o", dir}
	for _, name := range []string{"drgate", "drentry", "drplatform", "drbackend", "drlink"} {
		args = append(args, "./cmd/"+name)
	}
	build := exec.Command("go", args...)
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		return 0, errors.Wrapf(err, "build the programs: %s", out)
	}
	return m.Run(), nil
}

// target is a listener of a process under test.
type target struct {
	pid  int
	addr string
	// head is the start of a head for the listener, up to the end of the header line
	// "Host". held is one whose request waits at a backend server, prompt one whose
	// request is answered at once.
	held, prompt, post string
	// ask sends an ordinary request and reports whether it was answered.
	ask func() error
}

// instance is a running drgate with stand-ins of the store and of backend servers.
type instance struct {
	fleet.InstanceConfig
	process *exec.Cmd
}

func startInstance(t *testing.T) *instance {
	store, err := standin.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	route := func(service string) fleet.Route {
		return fleet.Route{
			Name: service, Host: host, Prefix: "/" + service + "/", Services: []fleet.WeightedService{{Service: service, Weight: 1}},
			Idempotent: true, Timeout: patience, TargetLatency: patience, MaxAttempts: 1, Sticky: true,
		}
	}
	service := func(name string) fleet.Service {
		return fleet.Service{Name: name, HealthPath: "/health", MaxConnections: 10_000, ColdStart: time.Second, ColdPerSecond: 10_000}
	}
	store.PutDocument(fleet.NewDocument(3, []fleet.Route{route("held"), route("prompt")}, []fleet.Service{service("held"), service("prompt")},
		fleet.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}))
	for service, serviceTime := range map[string]time.Duration{"held": patience, "prompt": 0} {
		backend := &standin.Backend{
			ID: service, Service: service, Region: "north", Slots: backendSlots, ServiceTime: serviceTime, Observe: func(standin.BackendRequest) {},
		}
		require.NoError(t, backend.Start())
		t.Cleanup(backend.Crash)
		store.Register(fleet.BackendServer{
			ID: service, Service: service, Addr: backend.Addr(), FailureDomain: "north-a", Slots: backendSlots, StartTime: time.Now().Add(-time.Hour),
		})
	}
	addr := func() string {
		a, err := testbed.FreeAddr()
		require.NoError(t, err)
		return a
	}
	g := &instance{InstanceConfig: fleet.InstanceConfig{
		ID: "n1", FailureDomain: "north-a", Region: "north", DomainRegions: map[string]string{"north-a": "north"},
		ClientAddr: addr(), ReadyAddr: addr(), PeerAddr: addr(), DirectoryAddr: addr(), StoreAddr: store.Addr(),
		HeartbeatInterval: 1500 * time.Millisecond, MaxOpenFiles: machineFiles, MemoryBytes: machineMemory, Bounds: fleet.DefaultBounds(),
	}}
	dir := t.TempDir()
	node, own := filepath.Join(dir, "node.json"), filepath.Join(dir, "drgate.json")
	require.NoError(t, os.WriteFile(node, standin.InstanceSettings(g.InstanceConfig), 0o600))
	require.NoError(t, os.WriteFile(own, fmt.Appendf(nil, `{"max_buffered_bytes": %d}`, bufferedBytes), 0o600))
	log, err := os.Create(filepath.Join(dir, "drgate.log"))
	require.NoError(t, err)
	defer log.Close()
	g.process = exec.Command(filepath.Join(binDir, "drgate"), "--node", node, "--settings", own)
	g.process.Env = append(os.Environ(), "GOMAXPROCS=1") // as on the platform
	g.process.Stdout, g.process.Stderr = log, log
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, g.process.Start())
	t.Cleanup(func() {
		_ = g.process.Process.Kill() // it may have exited
		_ = g.process.Wait()
	})
	require.Eventually(t, func() bool {
		return standin.CheckReady(context.Background(), http.DefaultClient, g.ReadyAddr) == nil
	}, patience, 10*time.Millisecond)
	return g
}

func (g *instance) clients() target {
	head := func(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" }
	return target{
		pid: g.process.Process.Pid, addr: g.ClientAddr,
		held: head("GET", heldPath), prompt: head("GET", promptPath), post: head("POST", promptPath),
		ask: func() error {
			return answered(func(client *http.Client) (int, error) {
				resp, err := standin.Send(context.Background(), client, g.ClientAddr, standin.Request{
					ID: "ordinary", Host: host, Method: http.MethodGet, Target: promptPath, TimeLeft: patience,
				})
				return resp.Status, err
			})
		},
	}
}

func (g *instance) directory() target {
	head := "GET /lookup HTTP/1.1\r\nHost: directory\r\n"
	return target{
		pid: g.process.Process.Pid, addr: g.DirectoryAddr, held: head, prompt: head, post: head,
		ask: func() error {
			return answered(func(client *http.Client) (int, error) {
				_, err := standin.Lookup(context.Background(), client, g.DirectoryAddr, "north", "north-a")
				return http.StatusOK, err
			})
		},
	}
}

// answered sends a request on a new connection and returns an error unless the answer is
// a success.
func answered(send func(*http.Client) (int, error)) error {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	status, err := send(&http.Client{Transport: transport})
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("status %d", status)
	}
	return err
}

// get sends a request to drentry and returns the status of the answer.
func get(client *http.Client, url, token string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// objectLine returns the header line with which a client names an object.
func objectLine(name string) string {
	req, err := standin.Request{Method: http.MethodGet, AffinityKey: name}.HTTPRequest(context.Background(), "localhost")
	if err != nil {
		panic(err) // unreachable: the request is constant
	}
	return "Cookie: " + req.Header.Get("Cookie") + "\r\n"
}

// entryBed starts deployments of drentry. Each test gets an entry instance that no test
// has used before.
type entryBed struct {
	bed    *testbed.Testbed
	unused []config.EntryInstance
}

func (b *entryBed) next(t *testing.T, parent *testing.T) config.EntryInstance {
	if len(b.unused) == 0 {
		if b.bed != nil {
			b.bed.Close()
		}
		bed, err := testbed.Start(context.Background(), testbed.Options{
			BinDir: binDir, DeploymentDir: filepath.Join("../../deploy", entrySample), WorkDir: parent.TempDir(), LogLevel: "warn",
			AdjustEntry: func(s *entry.Settings) {
				s.MaxBufferedBytes, s.MaxCallerConnections = bufferedBytes, callerConnections
			},
		})
		require.NoError(t, err)
		parent.Cleanup(bed.Close)
		b.bed, b.unused = bed, bed.Deployment().EntryInstances
	}
	in := b.unused[0]
	b.unused = b.unused[1:]
	return in
}

func (b *entryBed) callers(t *testing.T, parent *testing.T) target {
	in := b.next(t, parent)
	pid, err := b.bed.PID(in.ID)
	require.NoError(t, err)
	head := func(method string) string {
		return method + " " + entryPath + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + entryToken + "\r\n"
	}
	return target{
		pid: pid, addr: in.CallerAddr, held: head("GET"), prompt: head("GET"), post: head("POST"),
		ask: func() error {
			return answered(func(client *http.Client) (int, error) {
				return get(client, "http://"+in.CallerAddr+entryPath, entryToken)
			})
		},
	}
}

func (b *entryBed) operators(t *testing.T, parent *testing.T) target {
	out := b.callers(t, parent)
	in, err := b.bed.EntryInstance(b.entryAt(out.addr))
	require.NoError(t, err)
	out.addr = in.OperatorAddr
	out.held = "GET /v1/status HTTP/1.1\r\nHost: entry\r\n"
	out.prompt, out.post = out.held, out.held
	return out
}

func (b *entryBed) entryAt(callerAddr string) string {
	for _, in := range b.bed.Deployment().EntryInstances {
		if in.CallerAddr == callerAddr {
			return in.ID
		}
	}
	return ""
}

// usage is what a process took during a play.
type usage struct{ memory, files int }

// watch samples the process until stop is closed, and ends it if it takes a multiple of
// its memory.
func watch(pid int, stop <-chan struct{}) (*atomic.Int64, *sync.WaitGroup) {
	var files atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd")); err == nil {
				files.Store(max(files.Load(), int64(len(entries))))
			}
			if peakMemory(pid) > killMemory {
				_ = syscall.Kill(pid, syscall.SIGKILL) // a process of this test
				return
			}
		}
	})
	return &files, &wg
}

// peakMemory returns the largest resident size of a process so far; 0 if it has ended.
func peakMemory(pid int) int {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	if !ok {
		return 0
	}
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		return 0
	}
	return kilobytes << 10
}

// check plays a crowd against a listener and checks what must hold.
func check(t *testing.T, to target, p play) {
	atRest := peakMemory(to.pid)
	stop := make(chan struct{})
	files, watching := watch(to.pid, stop)
	statuses := p.run(t, to)
	close(stop)
	watching.Wait()
	use := usage{peakMemory(to.pid), int(files.Load())}
	t.Logf("peak %.1f MB (%.1f at rest), %d descriptors, statuses %v", float64(use.memory)/1e6, float64(atRest)/1e6, use.files, statuses)
	require.Positive(t, use.memory, "the process has ended")
	require.Less(t, use.memory, machineMemory)
	require.Less(t, use.files, machineFiles)
	var err error
	require.Eventually(t, func() bool { err = to.ask(); return err == nil }, patience, 50*time.Millisecond, "an ordinary request: %v", err)
}
