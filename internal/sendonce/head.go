package sendonce

import (
	"bytes"

	"github.com/go-faster/errors"
)

const (
	// maxHeadBytes bounds the head of a response. The default of net/http is 10 MB,
	// which a few responses of faulty servers turn into all memory of an instance.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head and of the interim responses before it.
	// Heads have about 10 lines; a line of 4 bytes takes some 100 when it is parsed.
	maxHeadLines = 256
)

var errHeadLines = errors.Errorf("head of the response has more than %d lines", maxHeadLines)

// interimStart begins an interim response, after which another head follows.
var interimStart = []byte("HTTP/1.1 1")

// headCounter counts the lines of the head of a response while they arrive.
type headCounter struct {
	active   bool
	lines    int
	start    []byte // of the status line, at most as long as interimStart
	inStatus bool
	length   int  // of the current line
	last     byte // of the current line
}

func (h *headCounter) begin() {
	*h = headCounter{active: true, inStatus: true, start: h.start[:0]}
}

// count returns an error once the head has too many lines.
func (h *headCounter) count(p []byte) error {
	for h.active && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		p = rest
		if h.inStatus {
			h.start = append(h.start, line[:min(len(line), len(interimStart)-len(h.start))]...)
		}
		if h.length += len(line); len(line) > 0 {
			h.last = line[len(line)-1]
		}
		if !ended {
			return nil
		}
		empty := h.length == 0 || h.length == 1 && h.last == '\r'
		h.length = 0
		if empty {
			h.active = bytes.Equal(h.start, interimStart)
			h.inStatus, h.start = true, h.start[:0]
			continue
		}
		h.inStatus = false
		if h.lines++; h.lines > maxHeadLines {
			return errHeadLines
		}
	}
	return nil
}
