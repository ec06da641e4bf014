package ingress

import (
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Settings are the operator's settings of an ingress, in JSON with comments. For
// the platform's settings of the instance see fleet.InstanceConfig.
type Settings struct {
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log_level"`
	// LogLinesPerSecond bounds the log lines of each kind; omitted lines are
	// counted in the next line of that kind.
	LogLinesPerSecond int `json:"log_lines_per_second"`
	// MetricsPort is the port of the metrics listener; 0 for none.
	MetricsPort int `json:"metrics_port"`
	// LookupTTL is how long clients may cache a lookup response.
	LookupTTL config.Duration `json:"lookup_ttl"`
	// StoreWait is how long a call to the store waits for changes.
	StoreWait config.Duration `json:"store_wait"`
	// HeartbeatInterval is the time between two heartbeats to each peer.
	HeartbeatInterval config.Duration `json:"heartbeat_interval"`
	// MaxBufferedBytes bounds the total size of request bodies held in memory.
	MaxBufferedBytes int64 `json:"max_buffered_bytes"`
}

// DefaultSettings returns the settings that apply where the file sets none.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:          "info",
		LogLinesPerSecond: 20,
		// Some clients cache a response for three times its TTL. That and the
		// time to finish requests must fit into the grace period between SIGTERM
		// and SIGKILL (6 s).
		LookupTTL: config.Duration(time.Second),
		// A call times out 1 s after this wait. Both together bound how long a
		// follower waits for a response that never comes. It must catch up
		// within the platform's stability window (4 s).
		StoreWait: config.Duration(2 * time.Second),
		// roster.LivenessTimeout is 2.5 times this interval.
		HeartbeatInterval: config.Duration(time.Second),
		// A quarter of the memory of the smallest instance (184 MB).
		MaxBufferedBytes: 48 << 20,
	}
}

// Check adds a finding for each invalid value.
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
