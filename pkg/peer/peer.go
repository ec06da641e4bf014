// Package peer carries calls between entry instances over yamux sessions.
//
// Each call uses one stream: one wire.Request, one wire.Response, both with a
// varint length prefix. Server and Pool are safe for concurrent use.
package peer

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// MaxMessageSize is the size limit of a message in bytes. A message must hold a
// 4 MiB response body with its headers, or a large configuration document.
const MaxMessageSize = 6 << 20

// Defaults of Config.
const (
	defaultDialTimeout = time.Second
	defaultKeepAlive   = 500 * time.Millisecond
	// A control session sends small messages only, so a ping unanswered for
	// 1 s means that the peer is frozen or unreachable.
	defaultControlTimeout = time.Second
	// Large messages may need this long on a slow connection before the peer's next
	// window update.
	defaultBulkTimeout    = 2 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultMaxStreams     = 256
	// All entry instances of a test deployment share one source address, and
	// each opens two sessions.
	defaultMaxSessionsPerAddr = 64
	// streamCloseTimeout is the time after which yamux resets a half-closed
	// stream. Until then a reset means that the peer rejected the stream.
	streamCloseTimeout = 5 * time.Minute
)

// Handler handles the calls of peers. The context is cancelled when the caller
// cancels the call or its session ends.
type Handler interface {
	Handle(ctx context.Context, req *wire.Request) *wire.Response
}

// Config is shared by Server and Pool. Zero values select the defaults.
type Config struct {
	// Self and Incarnation are sent with each request of a Pool.
	Self        string
	Incarnation uint64
	// Handler handles calls; only a Server needs it.
	Handler Handler
	// Traffic counts the bytes and frames sent. It may be shared.
	Traffic *Traffic
	// TLS enables TLS: the client configuration for a Pool, the server
	// configuration for a Server.
	TLS         *tls.Config
	DialTimeout time.Duration
	// KeepAlive is the interval of session pings.
	KeepAlive time.Duration
	// ControlTimeout limits the duration of a ping or a write on a control session.
	ControlTimeout time.Duration
	// BulkTimeout is how long nothing may arrive on a bulk session while a ping is
	// unanswered. A Server uses it for all sessions.
	BulkTimeout time.Duration
	// RequestTimeout is the time within which a peer must send its request after
	// opening a stream. It also limits the write of a response, and on bulk sessions
	// each write.
	RequestTimeout time.Duration
	// MaxStreams limits the concurrent calls per session.
	MaxStreams int
	// MaxSessionsPerAddr limits the sessions per source IP address.
	MaxSessionsPerAddr int
	Logger             hclog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.KeepAlive, defaultKeepAlive)
	setDefault(&c.ControlTimeout, defaultControlTimeout)
	setDefault(&c.BulkTimeout, defaultBulkTimeout)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.MaxStreams, defaultMaxStreams)
	setDefault(&c.MaxSessionsPerAddr, defaultMaxSessionsPerAddr)
	if c.Traffic == nil {
		c.Traffic = &Traffic{}
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (c Config) yamux(writeTimeout time.Duration) *yamux.Config {
	y := yamux.DefaultConfig()
	y.AcceptBacklog = c.MaxStreams
	y.EnableKeepAlive = false // this package pings, see link.keepAlive and pingBusy
	y.ConnectionWriteTimeout = writeTimeout
	y.StreamOpenTimeout = c.RequestTimeout
	y.StreamCloseTimeout = streamCloseTimeout
	y.LogOutput = nil
	y.Logger = c.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	return y
}
