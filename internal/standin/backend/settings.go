package backend

import (
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Settings configure one process that runs many backend servers.
type Settings struct {
	Admin   string           `json:"admin"` // host:port of the admin API
	Servers []ServerSettings `json:"servers"`
	// Work applies to servers without their own Work.
	Work Work `json:"work"`
	// OpenDelay delays the first request of each new connection.
	OpenDelay config.Duration `json:"open_delay"`
	// Seed of the random service times; 0 selects a random seed.
	Seed uint64 `json:"seed"`
}

// ServerSettings configure one backend server.
type ServerSettings struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	Slots int    `json:"slots"`
	// MaxConnections limits open connections; further ones are closed
	// immediately. 0 means no limit.
	MaxConnections int   `json:"max_connections"`
	Work           *Work `json:"work"`
}

// Distribution is the probability distribution of service times.
type Distribution string

// Service time distributions.
const (
	Fixed     Distribution = "fixed"
	Lognormal Distribution = "lognormal"
)

// Work describes the cost of a run.
type Work struct {
	Distribution Distribution `json:"distribution"`
	// ServiceTime is the fixed duration of a run, or the median for Lognormal.
	ServiceTime config.Duration `json:"service_time"`
	Sigma       float64         `json:"sigma"` // standard deviation of the logarithm
	// MaxServiceTime limits a lognormal service time; 0 means no limit.
	MaxServiceTime config.Duration `json:"max"`
	BodySize       int             `json:"body_size"` // minimum size of a response in bytes
	// A cold server multiplies its service time by ColdFactor. The factor falls
	// linearly to 1 during ColdFor.
	ColdFor    config.Duration `json:"cold_for"`
	ColdFactor float64         `json:"cold_factor"`
}

// DefaultSettings returns settings without servers, with a fixed service time of
// 20 ms, no cold phase, and a delay of 1 ms per new connection.
func DefaultSettings() Settings {
	return Settings{
		Admin:     "127.0.0.1:0",
		OpenDelay: config.Duration(time.Millisecond),
		Work:      Work{Distribution: Fixed, ServiceTime: config.Duration(20 * time.Millisecond), BodySize: 256},
	}
}

// LoadMode is the behaviour of GET /load.
type LoadMode string

// Modes of GET /load.
const (
	LoadAccurate LoadMode = "honest"
	LoadMissing  LoadMode = "missing" // 404
	LoadStuck    LoadMode = "stuck"   // the in-flight count at the time of the change
	LoadHang     LoadMode = "hang"
	LoadIdle     LoadMode = "idle" // always reports 0 in flight
)

// HealthMode is the behaviour of GET /health.
type HealthMode string

// Modes of GET /health.
const (
	HealthAccurate HealthMode = "honest"
	HealthMissing  HealthMode = "missing"
	HealthHang     HealthMode = "hang"
	HealthOK       HealthMode = "ok" // reports ok even while draining
)

// Mode is the behaviour of a server, changed by POST /admin/mode. Keys that are
// absent from the body keep their value.
type Mode struct {
	Load   LoadMode   `json:"load"`
	Health HealthMode `json:"health"`
	// Draining is reported by GET /health. New requests still run and are
	// counted, so that a test detects requests sent to a draining server.
	Draining bool `json:"draining"`
	// IgnoreCancel continues runs after their client has disconnected, up to
	// their deadline.
	IgnoreCancel bool `json:"ignore_cancel"`
	// Truncate is the number of next responses whose body is cut in half.
	Truncate int `json:"truncate"`
	// CloseAfterRun is the number of next runs after which the connection is
	// aborted without a response.
	CloseAfterRun int `json:"close_after_run"`
	// Fail is the number of next runs whose response has status 500.
	Fail int `json:"fail"`
	// ResponseDelay delays each response after its run has ended and its slot
	// was released.
	ResponseDelay config.Duration `json:"delay_answer"`
	// Down closes the listener and all connections, like a crashed server.
	// Active runs are cancelled.
	Down bool `json:"down"`
	// Cold starts a new cold phase at the time of the change.
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
