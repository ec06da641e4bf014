package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// mismatchingPeer answers every request with the reply to another one.
type mismatchingPeer struct{}

func (mismatchingPeer) Handle(_ context.Context, req *wire.Request) *wire.Response {
	if f := req.GetForward(); f != nil {
		return &wire.Response{Reply: &wire.Response_Forward{Forward: &wire.ForwardReply{
			RequestId: newRequestID(), Attempt: f.GetAttempt(), Entry: "e2",
			Outcome: wire.Outcome_OUTCOME_ANSWERED, Status: http.StatusOK, Body: []byte("of another request"),
		}}}
	}
	return &wire.Response{Error: "unknown call"}
}

// reportFreeSlots sends heartbeats of a peer e2 with free slots until the test ends.
func reportFreeSlots(t *testing.T, addr string) {
	pool := peer.NewPool(peer.Config{Self: "e2", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done; pool.Close() })
	go func() {
		defer close(done)
		for sequence := uint64(1); ctx.Err() == nil; {
			stream, err := pool.OpenHeartbeats(ctx, addr, func(*wire.Heartbeat) {})
			for ; err == nil && ctx.Err() == nil; sequence++ {
				err = stream.Send(&wire.Heartbeat{
					Entry: "e2", Incarnation: 1, State: wire.EntryState_ENTRY_STATE_READY,
					Sequence: sequence, FreeSlots: map[string]int32{"narrow": 9},
				})
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// Guards against a reply that reaches the caller of another request.
func TestMismatchedReplyIsDropped(t *testing.T) {
	b := newTestBed(t)
	b.deployment.Links[0].BitsPerSecond = 1e9
	l, err := net.Listen("tcp", b.deployment.EntryInstances[1].PeerAddr)
	require.NoError(t, err)
	server := peer.NewServer(peer.Config{Self: "e2", Incarnation: 1, Handler: mismatchingPeer{}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	e, _ := b.start(0, nil)
	reportFreeSlots(t, b.deployment.EntryInstances[0].PeerAddr)
	b.configure(1)
	b.eventually("a forwarded request", func() bool {
		r := b.call(0, http.MethodGet, "/v1/call/narrow/x", "", nil)
		require.NotContains(t, string(r.body), "of another request")
		return r.status == http.StatusGatewayTimeout && r.refusal.Reason == ReasonConnectionLost
	})
	require.Positive(t, e.metrics.mismatchedReplies.Value())
}

// freezingRelay forwards connections. It can freeze those that are open, as a network
// does that drops the packets of connections it no longer knows.
type freezingRelay struct {
	mu     sync.Mutex
	frozen chan struct{} // closed when the connections opened so far are frozen
}

func startFreezingRelay(t *testing.T, addr, target string) *freezingRelay {
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	r := &freezingRelay{frozen: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close(); r.freeze() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			r.mu.Lock()
			frozen := r.frozen
			r.mu.Unlock()
			go copyUntil(frozen, upstream, client)
			go copyUntil(frozen, client, upstream)
		}
	}()
	return r
}

func copyUntil(frozen chan struct{}, dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-frozen:
			return
		default:
		}
		if err != nil {
			_ = dst.Close()
			return
		}
		_, _ = dst.Write(buf[:n])
	}
}

func (r *freezingRelay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = make(chan struct{})
}

// Guards against an entry instance whose heartbeats stop arriving while it still
// receives those of its peer, because only its own connection is dead. The peer's new
// stream makes it check that connection; its regular pings would take 2 to 3 s.
func TestDeadConnectionInOneDirection(t *testing.T) {
	b := newTestBed(t)
	target, through := b.deployment.EntryInstances[1].PeerAddr, b.freeAddr()
	relay := startFreezingRelay(t, through, target)
	b.start(0, func(s *Settings) { s.AddressMap = map[string]string{target: through} })
	e2, _ := b.start(1, nil)
	b.configure(2)
	for range 2 {
		b.eventually("heartbeats of e1", func() bool { return !e2.quiet("e1") })
		relay.freeze()
		start := time.Now()
		b.eventually("silence", func() bool { return e2.quiet("e1") })
		b.eventually("the return of e1", func() bool { return !e2.quiet("e1") })
		require.Less(t, time.Since(start), 2*time.Second)
	}
}

// Guards against a peer that gets no heartbeats of an entry instance that cannot
// connect to it, although connections in the other direction work.
func TestHeartbeatsOverPeerStream(t *testing.T) {
	b := newTestBed(t)
	target := b.deployment.EntryInstances[1].PeerAddr
	nowhere := b.freeAddr()
	e1, _ := b.start(0, func(s *Settings) { s.AddressMap = map[string]string{target: nowhere} })
	e2, _ := b.start(1, nil)
	b.configure(2)
	b.eventually("heartbeats in both directions", func() bool { return !e1.quiet("e2") && !e2.quiet("e1") })
	require.Never(t, func() bool { return e2.entryState("e1") != membership.StateReady }, 2*time.Second, 10*time.Millisecond)
}

// Guards against an unknown outcome for a key whose owner is alive, because the
// connection to the owner is in backoff after failed dials.
func TestOwnerIsRetriedDuringBackoff(t *testing.T) {
	b := newTestBed(t)
	b.deployment.Links[0].BitsPerSecond = 1e9
	target, through := b.deployment.EntryInstances[1].PeerAddr, b.freeAddr()
	e1, _ := b.start(0, func(s *Settings) { s.AddressMap = map[string]string{target: through} })
	b.start(1, nil)
	b.configure(2)
	key := b.call(1, http.MethodPost, "/v1/keys?service=weka", "", nil)
	var issued KeyResponse
	require.NoError(t, json.Unmarshal(key.body, &issued))

	// Failed dials of the connection for requests raise its backoff to 0.5 to 1 s.
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		_, err := e1.callPeer(t.Context(), target, &wire.Request{Call: &wire.Request_TraceQuery{TraceQuery: &wire.TraceQuery{}}})
		require.Error(t, err)
	}
	startFreezingRelay(t, through, target)

	r := b.call(0, http.MethodPost, "/v1/call/weka/x", "", []string{"Idempotency-Key: " + issued.Key})
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	require.Equal(t, "answered", r.header.Get(HeaderOutcome))
}

// testCA is a certificate authority of a test.
type testCA struct {
	// age moves the validity period of new certificates into the past.
	age time.Duration

	t    *testing.T
	dir  string
	ips  []net.IP // in each certificate
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t *testing.T, ips ...net.IP) *testCA {
	a := &testCA{t: t, dir: t.TempDir(), ips: ips}
	a.cert, a.key = a.issue("ca", nil)
	return a
}

// issue writes a certificate for a name and its key. Without a parent it is the
// certificate of the authority itself.
func (a *testCA) issue(name string, parent *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: a.ips,
		NotBefore: time.Now().Add(-time.Hour - a.age), NotAfter: time.Now().Add(time.Hour - a.age),
		IsCA: parent == nil, BasicConstraintsValid: true,
	}
	signer := a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", private)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert, key
}

func (a *testCA) write(file, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, file), data, 0o600))
}

func (a *testCA) settings(s *Settings) {
	a.issue("entry", a.cert)
	file := func(name string) string { return filepath.Join(a.dir, name) }
	s.PeerTLS = &PeerTLSFiles{CertFile: file("entry.pem"), KeyFile: file("entry.key"), CAFile: file("ca.pem"), ServerName: "entry"}
}

// Guards against peers that communicate without TLS although it is configured, and
// against accepting a certificate that another authority has signed.
func TestPeerTLS(t *testing.T) {
	b := newTestBed(t)
	b.deployment.Links[0].BitsPerSecond = 1e9
	ours := newTestCA(t)
	b.start(0, ours.settings)
	_, stop := b.start(1, ours.settings)
	b.configure(2)
	served := func() bool {
		return b.call(0, http.MethodGet, "/v1/call/narrow/x", "", nil).status == http.StatusOK
	}
	b.eventually("a request over TLS", served)
	stop()
	for _, change := range []func(*Settings){newTestCA(t).settings, nil} {
		_, stop := b.start(1, change)
		b.eventually("configuration", func() bool { return b.call(1, http.MethodGet, "/v1/ready", "", nil).status == http.StatusOK })
		require.Never(t, served, 2*time.Second, 100*time.Millisecond)
		stop()
	}
}

// Guards against an instance that starts with a certificate that its peers reject, and
// then serves callers without them.
func TestPeerCertificateIsCheckedAtStart(t *testing.T) {
	ours, other := newTestCA(t), newTestCA(t)
	var s Settings
	for name, change := range map[string]func(p *PeerTLSFiles){
		"":                  func(*PeerTLSFiles) {},
		"unknown authority": func(p *PeerTLSFiles) { p.CAFile = filepath.Join(other.dir, "ca.pem") },
		"not another":       func(p *PeerTLSFiles) { p.ServerName = "another" },
		"expired": func(p *PeerTLSFiles) {
			ours.age = 2 * time.Hour
			ours.issue("entry", ours.cert)
		},
	} {
		ours.age = 0
		ours.settings(&s)
		change(s.PeerTLS)
		_, _, err := s.PeerTLS.load()
		if name == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorContains(t, err, name)
	}
}

// Guards against an operator listener without TLS although it is configured, and
// against a client that accepts any certificate.
func TestOperatorTLS(t *testing.T) {
	b := newTestBed(t)
	ours := newTestCA(t, net.ParseIP(b.host))
	ours.issue("entry", ours.cert)
	file := func(a *testCA, name string) string { return filepath.Join(a.dir, name) }
	b.start(0, func(s *Settings) {
		s.TLS = &TLSFiles{CertFile: file(ours, "entry.pem"), KeyFile: file(ours, "entry.key")}
	})
	addr := b.deployment.EntryInstances[0].OperatorAddr
	for base, ca := range map[string]string{
		"https://" + addr:       file(ours, "ca.pem"),
		"https://" + addr + "/": file(newTestCA(t), "ca.pem"),
		"http://" + addr:        file(ours, "ca.pem"),
	} {
		c, err := operator.NewClient(operator.ClientConfig{BaseURL: base, Token: operatorToken, CAFile: ca})
		require.NoError(t, err)
		_, err = c.Status(t.Context())
		require.Equal(t, base == "https://"+addr, err == nil, "%s: %v", base, err)
	}
}

// Guards against a trace of a mistyped id that looks like a trace without spans.
func TestTraceRejectsInvalidIDs(t *testing.T) {
	_, err := new(Entry).Trace(t.Context(), "0")
	var found *findings.Error
	require.ErrorAs(t, err, &found)
}

// Guards against borrowing slots of an entry instance of another failure domain that is
// running, because a partition between the domains causes refusals.
func TestRefusalBetweenDomainsNeedsInstanceList(t *testing.T) {
	e := &Entry{settings: Settings{ID: "e1", FailureDomain: "d1"}}
	sameDomain := config.EntryInstance{ID: "e2", FailureDomain: "d1"}
	otherDomain := config.EntryInstance{ID: "e3", FailureDomain: "d2"}
	now := time.Now()
	require.True(t, e.refusalProvesGone(now, sameDomain))
	require.False(t, e.refusalProvesGone(now, otherDomain), "no list")
	entry := func(id string) platform.Instance {
		return platform.Instance{ID: id, Kind: "entry", State: platform.InstanceLive}
	}
	e.handleInstanceList([]platform.Instance{entry("e1"), entry("e3")})
	require.False(t, e.refusalProvesGone(time.Now(), otherDomain), "listed")
	e.handleInstanceList([]platform.Instance{entry("e1")})
	require.True(t, e.refusalProvesGone(time.Now(), otherDomain), "not listed")
	require.False(t, e.refusalProvesGone(time.Now().Add(platformListMaxAge), otherDomain), "list too old")
}
