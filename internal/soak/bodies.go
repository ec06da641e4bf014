package soak

import (
	"context"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

const (
	// longBodyShare is the share of long bodies among those of clients that keep
	// connections. They are longer than a buffer of 32 KiB.
	longBodyShare = 0.03
	minLongBody   = 33 << 10
	maxLongBody   = 1000 << 10 // below max_body_bytes with the rest of the body
	readDelay     = 150 * time.Millisecond
)

// lengthen replaces the body of some requests with a long one.
func (c keptClient) lengthen(s *clientRequest) {
	if c.random.Float64() < longBodyShare {
		s.setBody(s.ID + strings.Repeat("0", minLongBody+c.random.IntN(maxLongBody-minLongBody)))
	}
}

// bodyFaultKinds lists the faults in how servers read requests and end responses.
var bodyFaultKinds = []faultKind{
	{"a server reads and responds in its own way", (*environment).changeBodies},
}

// changeBodies makes a server read bodies late and in parts, send responses without a
// length, or break these off.
func (e *environment) changeBodies(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	modes := []standin.Mode{{ReadDelay: readDelay}, {Unsized: true}, {Unsized: true, TruncateRate: 0.3}, {ReadDelay: readDelay, Unsized: true}}
	srv.SetMode(modes[f.variant%len(modes)])
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	srv.SetMode(standin.Mode{})
}
