package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	crowdSize = 400
	// crowdOverFiles is more than the descriptors of the machine.
	crowdOverFiles = 1500
	// legalHead is the size of a head below the limit of the document, 16 KiB.
	legalHead = 15 << 10
	// endless is what a client sends that would go on without end.
	endless = 256 << 10
	// objects is the number of requests of each client of a play that names objects.
	objects = 15
	// writeTimeout ends a client of which the process reads nothing.
	writeTimeout = 2 * time.Second
)

// play is what a crowd of clients sends, each on a connection of its own that stays open
// until all have sent.
type play struct {
	name  string
	conns int
	// sent returns what client i sends to a listener.
	sent func(to target, i int) io.Reader
	// single says that each byte is sent on its own.
	single bool
}

// lines returns header lines of a total size.
func lines(line string, size int) string { return strings.Repeat(line, size/len(line)) }

// ownLines returns short header lines with names of their own, of a total size.
func ownLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(string([]byte{letters[i%36], letters[i/36%36], letters[i/36/36%36]}) + ":\n")
	}
	return b.String()
}

func text(build func(to target) string) func(target, int) io.Reader {
	return func(to target, _ int) io.Reader { return strings.NewReader(build(to)) }
}

// repeated is a start and a piece that is repeated up to a size.
func repeated(start func(to target) string, piece string, size int) func(target, int) io.Reader {
	return text(func(to target) string { return start(to) + lines(piece, size) })
}

func none(target) string    { return "" }
func held(to target) string { return to.held }
func chunked(to target) string {
	return to.post + "Transfer-Encoding: chunked\r\n\r\n"
}

// oddHeads are heads that any listener may get.
func oddHeads() []play {
	return []play{
		{name: "lines of four bytes, no end yet", conns: crowdSize, sent: repeated(held, "a:\r\n", legalHead)},
		{name: "names and values of one byte, no end yet", conns: crowdSize, sent: repeated(held, "a:b\n", legalHead)},
		{name: "names of their own, no end yet", conns: crowdSize, sent: text(func(to target) string { return to.held + ownLines(legalHead) })},
		{name: "lines without end", conns: crowdSize, sent: repeated(held, "a:\n", endless)},
		{name: "half a head on many connections", conns: crowdOverFiles, sent: text(func(to target) string { return to.held[:6] })},
	}
}

// plays are what a listener for requests may get.
func plays() []play {
	return append(oddHeads(),
		play{name: "lines of four bytes", conns: crowdSize, sent: repeated(held, "a:\r\n", legalHead)},
		play{name: "names of their own", conns: crowdSize, sent: text(func(to target) string { return to.held + ownLines(legalHead) + "\r\n" })},
		play{name: "a line without end", conns: crowdSize, sent: repeated(func(to target) string { return to.held + "a: " }, "x", endless)},
		play{name: "a head byte by byte", conns: crowdSize, single: true, sent: repeated(held, "a:b\n", 2000)},
		play{name: "empty lines", conns: crowdSize, sent: repeated(none, "\r\n", endless)},
		play{name: "empty lines after a request", conns: crowdSize, sent: repeated(func(to target) string { return to.post + "Content-Length: 0\r\n\r\n" }, "\r\n", endless)},
		play{name: "a chunk extension without end", conns: crowdSize, sent: repeated(func(to target) string { return chunked(to) + "1;" }, "x", endless)},
		play{name: "chunk extensions", conns: crowdSize, sent: repeated(chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n", endless)},
		play{name: "trailers without end", conns: crowdSize, sent: repeated(func(to target) string { return chunked(to) + "0\r\n" }, "a:\r\n", endless)},
		play{name: "long names of objects", conns: crowdSize, sent: func(to target, i int) io.Reader {
			var all []io.Reader
			for n := range objects {
				all = append(all, strings.NewReader(to.prompt+objectLine(fmt.Sprintf("%d-%d-%s", i, n, lines("x", legalHead)))+"\r\n"))
			}
			return io.MultiReader(all...)
		}},
	)
}

// run plays the crowd and returns the number of first responses by status; 0 stands for
// none.
func (p play) run(t *testing.T, to target) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var sending, reading sync.WaitGroup
	conns := make([]net.Conn, p.conns)
	for i := range p.conns {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp", to.addr, patience)
			if err != nil {
				return // refused, which is allowed
			}
			conns[i] = c
			reading.Go(func() {
				r := bufio.NewReader(c)
				status := 0
				if resp, err := http.ReadResponse(r, nil); err == nil {
					status = resp.StatusCode
				}
				_, _ = io.Copy(io.Discard, r) // ends with the connection
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
			p.send(c, p.sent(to, i))
		})
	}
	sending.Wait()
	p.waitUntilRead(t, to)
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	reading.Wait()
	return statuses
}

// send writes until the end or until the connection fails.
func (p play) send(c net.Conn, r io.Reader) {
	size := 16 << 10
	if p.single {
		size = 1
	}
	buf := make([]byte, size)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails if the connection is closed, as Write does then
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilRead waits until the process has read what the kernel has received for it.
func (p play) waitUntilRead(t *testing.T, to target) {
	const stable = 10
	read := 0
	for end := time.Now().Add(patience); read < stable && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		read++
		if unreadBytes(t, to.addr) > 0 {
			read = 0
		}
	}
}

// unreadBytes returns the bytes that the kernel has received at an address and that have
// not been read.
func unreadBytes(t *testing.T, addr string) (sum int) {
	data, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	_, port, err := net.SplitHostPort(addr)
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	suffix := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line) // number, local and remote address, state, queues
		if !strings.HasSuffix(fields[1], suffix) || fields[3] != "01" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		require.NoError(t, err)
		sum += int(n)
	}
	return sum
}

// Guards against clients that end an instance of the platform, or keep others out for
// good: what they sent in heads was held without a limit in sum.
func TestClientsOfInstance(t *testing.T) {
	for _, p := range plays() {
		t.Run(p.name, func(t *testing.T) { check(t, startInstance(t).clients(), p) })
	}
}

// Guards the same for clients of the directory.
func TestClientsOfDirectory(t *testing.T) {
	for _, p := range oddHeads() {
		t.Run(p.name, func(t *testing.T) { check(t, startInstance(t).directory(), p) })
	}
}

// Guards the same for the callers of drentry.
func TestCallersOfEntry(t *testing.T) {
	var bed entryBed
	for _, p := range plays() {
		t.Run(p.name, func(st *testing.T) { check(st, bed.callers(st, t), p) })
	}
}

// Guards the same for clients that reach the listener for operators.
func TestClientsOfOperatorListener(t *testing.T) {
	var bed entryBed
	for _, p := range oddHeads() {
		t.Run(p.name, func(st *testing.T) { check(st, bed.operators(st, t), p) })
	}
}

// Guards against limits that refuse a single request within those of the document.
func TestSingleRequestWithinLimits(t *testing.T) {
	for name, head := range map[string]string{
		"lines of four bytes": lines("a:\r\n", legalHead), "names of their own": ownLines(legalHead), "one line": "a: " + lines("x", legalHead) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := startInstance(t).clients()
			c, err := net.Dial("tcp", to.addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, to.prompt+head+"\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}
