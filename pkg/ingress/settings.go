package ingress

import (
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Settings are the operator's own settings of an ingress, JSON with comments.
// What the platform says about the instance is a fleet.Node.
type Settings struct {
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
	// LogLinesPerSecond bounds the lines of each kind; lines that are left
	// out are counted in the next line of that kind.
	LogLinesPerSecond int `json:"log_lines_per_second"`
	// MetricsPort is the port of the metrics listener; 0 for none.
	MetricsPort int `json:"metrics_port"`
	// LookupTTL is how long clients keep an answer of the directory.
	LookupTTL config.Duration `json:"lookup_ttl"`
	// StoreWait is how long one call to the store waits for changes.
	StoreWait config.Duration `json:"store_wait"`
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval config.Duration `json:"heartbeat_interval"`
	// MaxBufferedBytes bounds the request bodies that are held in memory.
	MaxBufferedBytes int64 `json:"max_buffered_bytes"`
}

// DefaultSettings returns the settings of a file that names none.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:          "info",
		LogLinesPerSecond: 20,
		// A third of the grace between SIGTERM and SIGKILL (6 s), less the
		// time to finish: some clients keep an answer three times as long.
		LookupTTL: config.Duration(time.Second),
		// With the time limit of the call (1 s) it bounds how long a follower
		// waits for an answer that a silent store has dropped. It must catch up
		// within the platform's stability window (4 s).
		StoreWait: config.Duration(2 * time.Second),
		// AliveFor of pkg/roster is two and a half of these.
		HeartbeatInterval: config.Duration(time.Second),
		// A quarter of the smallest instance's memory (184 MB).
		MaxBufferedBytes: 48 << 20,
	}
}

// Check adds findings about values that cannot work.
func (s *Settings) Check(list *findings.List) {
	for _, d := range []struct {
		name     string
		value    config.Duration
		min, max time.Duration
	}{
		{"lookup_ttl", s.LookupTTL, 100 * time.Millisecond, 5 * time.Second},
		{"store_wait", s.StoreWait, 100 * time.Millisecond, 30 * time.Second},
		{"heartbeat_interval", s.HeartbeatInterval, 100 * time.Millisecond, time.Second},
	} {
		if v := d.value.Std(); v < d.min || v > d.max {
			list.Add(d.name, "is %v, must be from %v to %v", v, d.min, d.max)
		}
	}
	if s.LogLinesPerSecond <= 0 {
		list.Add("log_lines_per_second", "must be positive")
	}
	if s.MaxBufferedBytes < 1<<20 {
		list.Add("max_buffered_bytes", "must be at least 1 MiB")
	}
	if s.MetricsPort < 0 || s.MetricsPort > 65535 {
		list.Add("metrics_port", "is no port")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		list.Add("log_level", "is %q, must be debug, info, warn or error", s.LogLevel)
	}
}
