package backend

import (
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Settings configure one process that runs many backend servers.
type Settings struct {
	Admin   string           `json:"admin"` // host:port of the admin API
	Servers []ServerSettings `json:"servers"`
	// Work is the default of servers that have none of their own.
	Work Work `json:"work"`
	// OpenDelay is the time that each new connection takes.
	OpenDelay config.Duration `json:"open_delay"`
	// Seed of the service times; 0 picks one.
	Seed uint64 `json:"seed"`
}

// ServerSettings configure one backend server.
type ServerSettings struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Slots int    `json:"slots"`
	// MaxConnections bounds open connections; further ones are closed at
	// once. 0 is no bound.
	MaxConnections int   `json:"max_connections"`
	Work           *Work `json:"work"`
}

// Distribution is the kind of the service time distribution.
type Distribution string

// Kinds of distributions.
const (
	Fixed     Distribution = "fixed"
	Lognormal Distribution = "lognormal"
)

// Work describes the cost of a run.
type Work struct {
	Distribution Distribution `json:"distribution"`
	// ServiceTime is the time of a run, or the median for lognormal.
	ServiceTime config.Duration `json:"service_time"`
	Sigma       float64         `json:"sigma"` // of the logarithm
	// MaxServiceTime bounds a lognormal time; 0 is no bound.
	MaxServiceTime config.Duration `json:"max"`
	BodySize       int             `json:"body_size"` // bytes of an answer, at least its fixed part
	// A cold server multiplies its service time by ColdFactor, which falls
	// linearly to 1 over ColdFor.
	ColdFor    config.Duration `json:"cold_for"`
	ColdFactor float64         `json:"cold_factor"`
}

// DefaultSettings has a fixed service time of 20 ms, no cold phase, and 1 ms to
// open a connection.
func DefaultSettings() Settings {
	return Settings{
		Admin:     "127.0.0.1:0",
		OpenDelay: config.Duration(time.Millisecond),
		Work:      Work{Distribution: Fixed, ServiceTime: config.Duration(20 * time.Millisecond), BodySize: 256},
	}
}

// LoadMode is how GET /load behaves.
type LoadMode string

// Modes of GET /load.
const (
	LoadAccurate LoadMode = "honest"
	LoadMissing  LoadMode = "missing" // 404
	LoadStuck    LoadMode = "stuck"   // the value at the time of the change
	LoadHang     LoadMode = "hang"
	LoadIdle     LoadMode = "idle" // always 0 in flight
)

// HealthMode is how GET /health behaves.
type HealthMode string

// Modes of GET /health.
const (
	HealthAccurate HealthMode = "honest"
	HealthMissing  HealthMode = "missing"
	HealthHang     HealthMode = "hang"
	HealthOK       HealthMode = "ok" // also while draining
)

// Mode is the behaviour that POST /admin/mode changes at run time. Keys that
// are absent from the body keep their value.
type Mode struct {
	Load   LoadMode   `json:"load"`
	Health HealthMode `json:"health"`
	// Draining is reported by GET /health. New requests still run, and are
	// counted, so that a test sees work that should not have come.
	Draining bool `json:"draining"`
	// IgnoreCancel keeps runs going after their client has gone, until their
	// deadline.
	IgnoreCancel bool `json:"ignore_cancel"`
	// Truncate cuts the body of the next answers in half.
	Truncate int `json:"truncate"`
	// CloseAfterRun breaks the connection after each of the next runs
	// instead of answering.
	CloseAfterRun int `json:"close_after_run"`
	// Fail answers each of the next runs with status 500 after it has ended.
	Fail int `json:"fail"`
	// ResponseDelay holds back each answer after its run has ended and its slot
	// is free.
	ResponseDelay config.Duration `json:"delay_answer"`
	// Down refuses connections and breaks the open ones, as a server that
	// died does. Its runs are cancelled.
	Down bool `json:"down"`
	// Cold starts a new cold phase with the change.
	Cold bool `json:"cold"`
}

func (m Mode) valid() bool {
	switch m.Load {
	case LoadAccurate, LoadMissing, LoadStuck, LoadHang, LoadIdle:
	default:
		return false
	}
	switch m.Health {
	case HealthAccurate, HealthMissing, HealthHang, HealthOK:
	default:
		return false
	}
	return m.Truncate >= 0 && m.CloseAfterRun >= 0 && m.Fail >= 0 && m.ResponseDelay >= 0
}
