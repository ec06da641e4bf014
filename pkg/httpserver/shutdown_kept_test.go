package httpserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readAnswer reads one response.
func (b *shutdownBed) readAnswer(r *bufio.Reader) *http.Response {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(b.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	require.Equal(b.t, "end", string(body))
	return resp
}

// Guards against a stop that closes a kept connection after the first bytes of its
// next request have been read, and serves that request with nowhere to answer to.
func TestShutdownServesNextRequestOnTheWay(t *testing.T) {
	for _, sent := range []int{1, 4, len(requestHead) / 2, len(requestHead) - 1} {
		t.Run(fmt.Sprintf("%d bytes", sent), func(t *testing.T) {
			b := newShutdownBed(t, 0)
			close(b.proceed)
			kept := b.open(requestHead)
			r := bufio.NewReader(kept)
			b.readAnswer(r)
			b.send(kept, requestHead[:sent])
			time.Sleep(50 * time.Millisecond) // the bytes have been read
			done := b.shutdown()
			time.Sleep(50 * time.Millisecond)
			b.send(kept, requestHead[sent:])
			require.True(t, b.readAnswer(r).Close)
			require.NoError(t, <-done)
			require.NoError(t, <-b.served)
		})
	}
}

// Guards against a connection without a request that stays open, and usable, for as
// long as other requests keep the stop from ending, or keeps it from ending itself.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	b := newShutdownBed(t, 0)
	running, unused := b.open(requestHead), b.open("")
	<-b.begun
	time.Sleep(50 * time.Millisecond) // both are accepted
	done := b.shutdown()
	require.NoError(t, unused.SetReadDeadline(time.Now().Add(requestPatience+time.Second)))
	_, err := unused.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(b.proceed)
	b.requireAnswers([]net.Conn{running})
	require.NoError(t, <-done)
	require.NoError(t, <-b.served)
}

// Guards against a stop that waits for connections which carry nothing.
func TestShutdownDoesNotWaitForUnusedConnections(t *testing.T) {
	b := newShutdownBed(t, 0)
	b.open("")
	time.Sleep(50 * time.Millisecond) // it is accepted
	started := time.Now()
	require.NoError(t, <-b.shutdown())
	require.Less(t, time.Since(started), requestPatience+500*time.Millisecond)
	require.NoError(t, <-b.served)
}

// Guards against a request that is served and whose answer is lost, whenever a stop
// begins relative to the requests on kept connections.
func TestShutdownUnderLoad(t *testing.T) {
	const rounds, clients = 40, 32
	for range rounds {
		var served, answered atomic.Int64
		s, err := New(Config{Name: "test", Fallback: func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			_, _ = io.WriteString(w, "end")
		}})
		require.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(l) }()
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := io.Copy(c, strings.NewReader(requestHead)); err != nil {
						return
					}
					resp, err := http.ReadResponse(r, nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "end" {
						return
					}
					answered.Add(1)
					if resp.Close {
						return
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		require.NoError(t, s.Shutdown(ctx))
		cancel()
		require.NoError(t, <-ended)
		wg.Wait()
		require.Equal(t, served.Load(), answered.Load())
	}
}

// Guards against a stop that waits for idle connections which hold all places of
// MaxConnections while a further connection is in the accept queue.
func TestShutdownClosesIdleConnectionsAtTheLimit(t *testing.T) {
	b := newShutdownBed(t, 1)
	close(b.proceed)
	kept := b.open(requestHead)
	b.readAnswer(bufio.NewReader(kept))
	queued := b.open(requestHead)
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go func() { done <- b.server.Shutdown(ctx) }()
	resp, err := http.ReadResponse(bufio.NewReader(queued), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	err2 := <-done
	require.Less(t, time.Since(started), 2*time.Second, "shutdown: %v; queued: %v", err2, err)
	require.NoError(t, err)
	require.NoError(t, err2)
}

func testCertificate(t *testing.T) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "x"}, DNSNames: []string{"x"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// slowClient delays each write of the client after the first one.
type slowClient struct {
	net.Conn
	writes atomic.Int32
	gate   chan struct{}
}

func (s *slowClient) Write(p []byte) (int, error) {
	if s.writes.Add(1) > 1 {
		<-s.gate
	}
	return s.Conn.Write(p)
}

// Guards against a stop that closes a TLS connection at once which was accepted before
// and whose first request is on its way.
func TestShutdownServesFirstRequestOfTLSConnection(t *testing.T) {
	for _, name := range []string{"during the handshake", "after the handshake"} {
		t.Run(name, func(t *testing.T) {
			s, err := New(Config{Name: "test", TLS: &tls.Config{Certificates: []tls.Certificate{testCertificate(t)}},
				Fallback: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "end") }})
			require.NoError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- s.Serve(l) }()
			raw, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = raw.Close() }()
			slow := &slowClient{Conn: raw, gate: make(chan struct{})}
			c := tls.Client(slow, &tls.Config{InsecureSkipVerify: true})
			hs := make(chan error, 1)
			if name == "after the handshake" {
				close(slow.gate)
				require.NoError(t, c.Handshake())
			} else {
				go func() { hs <- c.Handshake() }()
			}
			time.Sleep(50 * time.Millisecond)
			done := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				done <- s.Shutdown(ctx)
			}()
			time.Sleep(100 * time.Millisecond) // well below requestPatience
			if name != "after the handshake" {
				close(slow.gate)
				require.NoError(t, <-hs)
			}
			_, err = io.WriteString(c, requestHead)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_ = resp.Body.Close()
			require.NoError(t, <-done)
		})
	}
}
