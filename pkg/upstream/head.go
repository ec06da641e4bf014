package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

const (
	// maxHeadLines bounds the lines of a head. Heads of backend servers have about
	// 10 lines. Without a limit, a head of maxHeadBytes with the shortest lines
	// takes some 3 MB when it is parsed.
	maxHeadLines = 256
	// headLineCost is the memory that a parsed header line takes beside its bytes:
	// an entry of the header map, the slice of its values and two strings.
	headLineCost = 200
	// freeHeadCost is the cost of a head that does not count towards the budget.
	// That of a usual head is 3 KB.
	freeHeadCost = 4 << 10
	// maxInterim bounds the interim responses (status 1xx) before a response. A server
	// sends a few at most, and each takes processor time.
	maxInterim = 64
	// headStart begins each head. Bytes that do not begin with it are no response.
	headStart = "HTTP/"
	// maxQuoted bounds the bytes of a server that an error message quotes.
	maxQuoted = 64
	// maxParseError bounds the text of an error of net/http, which quotes whole lines.
	maxParseError = 256
)

var (
	errHeadTooLarge = errors.Errorf("head of the response is larger than %d bytes", maxHeadBytes)
	errHeadLines    = errors.Errorf("head of the response has more than %d lines", maxHeadLines)
)

// headMemory is the memory of a budget that the current head takes.
type headMemory struct {
	budget *bytebudget.Budget
	head   int64 // of the parsed head
	buffer int64 // of an enlarged read buffer
}

func (m *headMemory) acquire(into *int64, n int64) error {
	if m.budget == nil {
		return nil
	}
	if !m.budget.Acquire(n) {
		return bytebudget.ErrFull
	}
	*into += n
	return nil
}

func (m *headMemory) releaseHead() {
	release(m.budget, m.head)
	m.head = 0
}

// bufferHead reads until the head of the next response is in the read buffer, and
// checks its size before it is parsed. A head that does not end in time or is too large
// leaves the connection unusable.
func (c *conn) bufferHead(m *headMemory) error {
	m.releaseHead()
	lines, scanned := 0, 0
	for {
		buffered, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return err
		}
		if start := buffered[:min(len(buffered), len(headStart))]; lines == 0 && !strings.HasPrefix(headStart, string(start)) {
			return errors.Errorf("malformed HTTP response %q", buffered[:min(len(buffered), maxQuoted)])
		}
		for {
			n := bytes.IndexByte(buffered[scanned:], '\n')
			if n < 0 {
				break
			}
			line := buffered[scanned : scanned+n]
			scanned += n + 1
			if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
				return m.acquireHead(scanned, lines)
			}
			if lines++; lines > maxHeadLines {
				return errHeadLines
			}
		}
		if err := c.readMoreOfHead(m); err != nil {
			return err
		}
	}
}

func (m *headMemory) acquireHead(size, lines int) error {
	cost := int64(size + lines*headLineCost)
	if cost <= freeHeadCost {
		return nil
	}
	return m.acquire(&m.head, cost)
}

// readMoreOfHead reads at least one byte into the read buffer, which it enlarges once.
func (c *conn) readMoreOfHead(m *headMemory) error {
	if n := c.r.Buffered(); n == c.r.Size() {
		if n >= maxHeadBytes {
			return errHeadTooLarge
		}
		if err := m.acquire(&m.buffer, maxHeadBytes); err != nil {
			return err
		}
		start, _ := c.r.Peek(n) // the buffer has n bytes
		c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(start), c.limited), maxHeadBytes)
	}
	n := c.r.Buffered()
	if _, err := c.r.Peek(n + 1); err != nil && c.r.Buffered() == n {
		if errors.Is(err, io.EOF) && c.limited.N <= 0 {
			return errHeadTooLarge
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

// shrinkBuffer replaces an enlarged read buffer, which must be empty.
func (c *conn) shrinkBuffer() {
	if c.r.Size() > readBuffer {
		c.r = bufio.NewReaderSize(c.limited, readBuffer)
	}
}

// shortenError returns an error of net/http with a bounded text.
func shortenError(err error) error {
	if text := err.Error(); len(text) > maxParseError {
		return errors.New(text[:maxParseError] + "...")
	}
	return err
}
