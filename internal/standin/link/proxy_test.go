package link

import (
	"bytes"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func start(t *testing.T, delay time.Duration, bitsPerSecond int64) *Proxy {
	t.Helper()
	settings := DefaultSettings()
	settings.Groups = []GroupSettings{{Name: "g", BitsPerSecond: bitsPerSecond}}
	target := echo(t)
	for _, name := range []string{"ab/1", "ab/2"} {
		settings.Links = append(settings.Links, LinkSettings{
			Name: name, Listen: "127.0.0.1:0", Target: target, Delay: config.Duration(delay), Group: "g",
		})
	}
	p, err := Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

func dial(t *testing.T, p *Proxy, name string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr(name))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// exchange sends data to an echo server and verifies the echoed bytes.
func exchange(c net.Conn, data []byte) error {
	var g errgroup.Group
	g.Go(func() error { _, err := c.Write(data); return err })
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if !bytes.Equal(got, data) {
		return io.ErrNoProgress
	}
	return g.Wait()
}

func randomBytes(n int) []byte {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return data
}

func set(t *testing.T, p *Proxy, prefix, body string) {
	t.Helper()
	resp, err := http.Post(p.AdminURL()+"/admin/links?prefix="+prefix, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

// Guards against a delay that limits the throughput: 8 MiB in steps of 32 KiB
// would take 14 s if each step waited for the delay.
func TestDelayKeepsThroughput(t *testing.T) {
	p := start(t, 55*time.Millisecond, 0)
	c := dial(t, p, "ab/1")
	require.NoError(t, exchange(c, []byte("opens")))
	begin := time.Now()
	require.NoError(t, exchange(c, []byte("x")))
	require.GreaterOrEqual(t, time.Since(begin), 110*time.Millisecond)
	begin = time.Now()
	require.NoError(t, exchange(c, randomBytes(8<<20)))
	require.Less(t, time.Since(begin), 2*time.Second)
}

// Guards against links of a group that each use the full capacity.
func TestGroupSharesCapacity(t *testing.T) {
	const bitsPerSecond = 80_000_000
	p := start(t, 0, bitsPerSecond)
	begin := time.Now()
	var g errgroup.Group
	for _, name := range []string{"ab/1", "ab/2"} {
		c := dial(t, p, name)
		g.Go(func() error { return exchange(c, randomBytes(2<<20)) })
	}
	require.NoError(t, g.Wait())
	least := time.Duration(float64(2*2<<20*8) / bitsPerSecond * float64(time.Second))
	require.GreaterOrEqual(t, time.Since(begin), least)
	require.Less(t, time.Since(begin), 3*least)
}

// Guards against bytes that are delivered, lost or reordered during a freeze, and
// against a freeze that closes the connection.
func TestFreezeAndHeal(t *testing.T) {
	for _, freeze := range []string{"forward", "reverse", "both"} {
		p := start(t, time.Millisecond, 0)
		c := dial(t, p, "ab/1")
		require.NoError(t, exchange(c, []byte("opens")))
		set(t, p, "ab/1", `{"freeze": "`+freeze+`"}`)
		done := make(chan error, 1)
		data := randomBytes(1 << 20)
		go func() { done <- exchange(c, data) }()
		select {
		case err := <-done:
			require.Fail(t, "a frozen link delivered bytes", "%v", err)
		case <-time.After(100 * time.Millisecond):
		}
		require.NoError(t, exchange(dial(t, p, "ab/2"), []byte("other link")))
		_, err := p.Heal("ab/")
		require.NoError(t, err)
		require.NoError(t, <-done)
	}
}

// Guards against a cut that leaves connections or the listener open, and against
// a healed link that listens on another port.
func TestCutAndHeal(t *testing.T) {
	p := start(t, 0, 0)
	c := dial(t, p, "ab/1")
	require.NoError(t, exchange(c, []byte("opens")))
	addr := p.Addr("ab/1")
	set(t, p, "ab/1", `{"cut": true}`)
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = net.Dial("tcp", addr)
	require.Error(t, err)
	_, err = p.Heal("")
	require.NoError(t, err)
	require.Equal(t, addr, p.Addr("ab/1"))
	require.NoError(t, exchange(dial(t, p, "ab/1"), []byte("again")))
}

// Guards against a close after the wrong number of bytes, or of more than one
// connection.
func TestCloseAfterBytes(t *testing.T) {
	p := start(t, 0, 0)
	for _, d := range []string{"forward", "reverse"} {
		c := dial(t, p, "ab/1")
		require.NoError(t, exchange(c, []byte("opens")))
		set(t, p, "ab/1", `{"close_after_`+d+`": 1000}`)
		_, err := c.Write(randomBytes(5000))
		require.NoError(t, err)
		got, _ := io.ReadAll(c) // ends with a reset or with EOF
		if d == "reverse" {
			require.Len(t, got, 1000)
		}
		require.LessOrEqual(t, len(got), 1000)
		require.NoError(t, exchange(dial(t, p, "ab/1"), randomBytes(5000)))
	}
}

// Guards against reverse bytes that are delivered while they should be dropped,
// and against a stream with a gap after the fault has ended.
func TestDropReverse(t *testing.T) {
	p := start(t, 0, 0)
	c := dial(t, p, "ab/1")
	require.NoError(t, exchange(c, []byte("opens")))
	set(t, p, "ab/", `{"drop_reverse": true}`)
	before := p.Links()[0].ForwardBytes
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.Links()[0].ForwardBytes == before+7 }, time.Second, time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	n, err := c.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	set(t, p, "ab/", `{"drop_reverse": false}`)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "a connection that lost bytes must be reset")
}

// Guards against bytes that are counted after the peer has received them. A
// report then lacks bytes that its reader has already seen answered.
func TestBytesAreCountedBeforeDelivery(t *testing.T) {
	const exchanges, size = 2000, 7
	p := start(t, 0, 0)
	c := dial(t, p, "ab/1")
	for n := range int64(exchanges) {
		require.NoError(t, exchange(c, randomBytes(size)))
		r := p.Links()[0]
		require.Equal(t, []int64{(n + 1) * size, (n + 1) * size}, []int64{r.ForwardBytes, r.ReverseBytes})
	}
}

// Guards against a misspelt fault that is silently ignored.
func TestUnknownKeysAreRefused(t *testing.T) {
	p := start(t, 0, 0)
	for path, body := range map[string]string{
		"/admin/links": `{"cutt": true}`, "/admin/links?prefix=ab": `{"freeze": "left"}`,
	} {
		resp, err := http.Post(p.AdminURL()+path, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
}

// Guards against conflicting capacity settings, of which one would be ignored.
func TestCapacitySettings(t *testing.T) {
	for _, bad := range []LinkSettings{{Group: "x"}, {Group: "g", BitsPerSecond: 1}, {Name: "g"}} {
		bad.Listen = "127.0.0.1:0"
		_, err := Start(Settings{Admin: "127.0.0.1:0", Groups: []GroupSettings{{Name: "g"}}, Links: []LinkSettings{bad}})
		require.Error(t, err)
	}
	p := start(t, 0, 0)
	require.False(t, p.SetGroup(GroupSettings{Name: "x"}))
	require.True(t, p.SetGroup(GroupSettings{Name: "g", BitsPerSecond: 1}))
}
