package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

const (
	testToken     = "caller-token"
	operatorToken = "operator-token"
)

// testBed runs entry instances and stand-ins in this process: entry instance e1 in
// failure domain d1 of region r1, and e2 in d2 of r2.
type testBed struct {
	ports          int // number of addresses returned by freeAddr
	t              *testing.T
	host           string
	platform       *platformstandin.Server
	backendServers *backendstandin.ServerSet
	deployment     config.Deployment
	contract       config.Contract
}

// service returns a service whose limits refuse no request of a test.
func service(name string, idempotent bool) config.Service {
	return config.Service{
		Name: name, Idempotent: idempotent, Priority: config.PriorityInteractive,
		Timeout: config.Duration(20 * time.Second), RetryRatio: 0.1,
		ShiftCap:  config.ShiftCap{Share: 1, Window: config.Duration(time.Second), Rate: 1000},
		Objective: config.Objective{Availability: 0.99, Latency: config.Duration(time.Second)},
	}
}

// firstPort is below the range of ephemeral ports.
const firstPort = 20000

// freeAddr returns a new address on the loopback host of this test bed. A port that
// the system assigns to a listener may be assigned again once that is closed.
func (b *testBed) freeAddr() string {
	b.ports++
	return fmt.Sprintf("%s:%d", b.host, firstPort+b.ports)
}

// newTestBed starts the stand-ins. Nothing listens at the address of server
// "gone-1".
func newTestBed(t *testing.T) *testBed {
	b := &testBed{t: t, host: fmt.Sprintf("127.%d.%d.%d", 100+rand.IntN(100), rand.IntN(250), 1+rand.IntN(250))}
	var err error
	b.platform, err = platformstandin.Start(platformstandin.DefaultSettings())
	require.NoError(t, err)
	t.Cleanup(func() { _ = b.platform.Close() })
	settings := backendstandin.DefaultSettings()
	b.deployment = config.Deployment{
		Regions:        []config.Region{{Name: "r1"}, {Name: "r2"}},
		FailureDomains: []config.FailureDomain{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r2"}},
		// 8 kbit/s leave 800 bytes per second for requests between regions.
		Links:                    []config.Link{{A: "r1", B: "r2", BitsPerSecond: 8000}},
		DefaultLinkBitsPerSecond: 8000,
	}
	for _, name := range []string{"salio-1", "weka-1", "single-1", "gone-1", "far-1", "narrow-1"} {
		s := config.BackendServer{ID: name, Addr: b.freeAddr(), FailureDomain: "d1", Slots: 4, MaxConnections: 50}
		s.Services = []string{strings.TrimSuffix(name, "-1")}
		if name == "far-1" || name == "narrow-1" {
			s.FailureDomain = "d2"
		}
		if name == "single-1" {
			s.Slots = 1
		}
		b.deployment.BackendServers = append(b.deployment.BackendServers, s)
		if name != "gone-1" {
			settings.Servers = append(settings.Servers, backendstandin.ServerSettings{ID: name, Addr: s.Addr, Slots: s.Slots})
		}
	}
	b.backendServers, err = backendstandin.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { _ = b.backendServers.Close() })
	for _, id := range []string{"1", "2"} {
		b.deployment.EntryInstances = append(b.deployment.EntryInstances, config.EntryInstance{
			ID: "e" + id, FailureDomain: "d" + id,
			CallerAddr: b.freeAddr(), PeerAddr: b.freeAddr(), OperatorAddr: b.freeAddr(),
		})
	}
	digest := sha256.Sum256([]byte(testToken))
	b.contract = config.Contract{Customer: "hesabu", TokenSHA256: []string{hex.EncodeToString(digest[:])}}
	for _, name := range []string{"salio", "single", "gone", "far", "narrow", "none", "limited"} {
		b.contract.Services = append(b.contract.Services, service(name, true))
	}
	b.contract.Services = append(b.contract.Services, service("weka", false))
	b.service("salio").Aliases = []string{"bakaa"}
	b.service("weka").Aliases = []string{"amana"}
	b.service("far").ShiftCap.Share = 0
	b.service("limited").RatePerSecond = 0.001
	return b
}

func (b *testBed) service(name string) *config.Service {
	s, ok := b.contract.FindService(name)
	require.True(b.t, ok)
	return s
}

// start runs an entry instance. It is stopped gracefully by the returned function or
// at the end of the test.
func (b *testBed) start(i int, change func(*Settings)) (*Entry, func()) {
	in := b.deployment.EntryInstances[i]
	s := Settings{
		ID: in.ID, FailureDomain: in.FailureDomain,
		CallerAddr: in.CallerAddr, PeerAddr: in.PeerAddr, OperatorAddr: in.OperatorAddr,
		PlatformURL: b.platform.URL(), OperatorToken: operatorToken, NoPredecessor: true,
		LookupTTL: config.Duration(50 * time.Millisecond),
	}
	if change != nil {
		change(&s)
	}
	e, err := New(s, hclog.NewNullLogger())
	require.NoError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stopped := false
	stop := func() {
		cancel()
		if !stopped {
			stopped = true
			require.NoError(b.t, <-done)
		}
	}
	b.t.Cleanup(stop)
	b.eventually("listeners of "+in.ID, func() bool {
		c, err := net.Dial("tcp", in.OperatorAddr)
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
	return e, stop
}

// configure applies deployment and contract and waits until the first n entry
// instances use them.
func (b *testBed) configure(n int) {
	c, err := operator.NewClient(operator.ClientConfig{BaseURL: "http://" + b.deployment.EntryInstances[0].OperatorAddr, Token: operatorToken})
	require.NoError(b.t, err)
	_, err = c.SubmitChange(b.t.Context(), config.Change{ID: newRequestID()}, config.ApplyDeployment{Deployment: b.deployment})
	require.NoError(b.t, err)
	_, err = c.SubmitChange(b.t.Context(), config.Change{ID: newRequestID()}, config.ApplyContract{Contract: b.contract})
	require.NoError(b.t, err)
	for i := range n {
		b.eventually("configuration", func() bool {
			return b.call(i, http.MethodGet, "/v1/lookup?service=salio", "", nil).status == http.StatusOK
		})
	}
}

// eventually waits for a condition, long enough for a busy machine.
func (b *testBed) eventually(what string, ok func() bool) {
	require.Eventually(b.t, ok, 20*time.Second, 10*time.Millisecond, what)
}

type result struct {
	status  int
	header  http.Header
	body    []byte
	refusal Refusal
}

// call sends a request with the caller's token. Header lines are "Name: value".
func (b *testBed) call(i int, method, path, body string, header []string) result {
	req, err := http.NewRequest(method, "http://"+b.deployment.EntryInstances[i].CallerAddr+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	for _, line := range header {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	r := result{status: resp.StatusCode, header: resp.Header}
	r.body, err = io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	_ = json.Unmarshal(r.body, &r.refusal)
	return r
}

// setMode changes the mode of all backend servers with an id prefix.
func (b *testBed) setMode(prefix string, change func(*backendstandin.Mode)) {
	_, err := b.backendServers.SetMode(prefix, func(m *backendstandin.Mode) error {
		change(m)
		return nil
	})
	require.NoError(b.t, err)
}
