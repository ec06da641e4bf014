package platform

import (
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Settings configure the stand-in.
type Settings struct {
	Addr string `json:"addr"` // host:port; port 0 selects a free port
	// TransactionsPerSecond limits commits and object writes; 0 means no limit.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// ReadsPerSecond limits reads of all kinds; 0 means no limit.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// InstanceLag is the age of the instance list that reads return.
	InstanceLag config.Duration `json:"instance_lag"`
	// Instances is the initial instance list, which is visible immediately.
	Instances []platform.Instance `json:"instances"`
}

// DefaultSettings returns settings with rate limits that are within the capacity
// that docs/design.md assumes of the platform.
func DefaultSettings() Settings {
	return Settings{
		Addr:                  "127.0.0.1:0",
		TransactionsPerSecond: 400,
		ReadsPerSecond:        2000,
	}
}

// Outage is a kind of outage.
type Outage string

// Kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // 503 with the Not-Written header
	OutageDrop   Outage = "drop"   // the connection is closed without effect
	OutageHang   Outage = "hang"   // no response until the outage ends, then as OutageDrop
)

// Fault is the set of injected faults, set by POST /admin/fault. Keys that are
// absent from the body are reset.
type Fault struct {
	Outage Outage `json:"down"`
	// Latency delays a request before it takes effect. A write takes effect
	// afterwards even if its client has disconnected.
	Latency config.Duration `json:"latency"`
	// LoseReplies is the number of next successful commits after which the
	// connection is closed without a response.
	LoseReplies int `json:"lose_replies"`
	// StaleReads is the age of the rows that reads return, at most 1 min.
	StaleReads config.Duration `json:"stale_reads"`
}

func (f Fault) valid() bool {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageDrop, OutageHang:
	default:
		return false
	}
	stale := f.StaleReads.Std()
	return f.Latency >= 0 && f.LoseReplies >= 0 && stale >= 0 && stale <= historyRetention
}

// Stats is the response of GET /admin/stats.
type Stats struct {
	Commits     int64 `json:"commits"` // transactions that took effect
	Conflicts   int64 `json:"conflicts"`
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"` // rows and objects written or deleted
	RateRefused int64 `json:"rate_refused"`
	DownRefused int64 `json:"down_refused"`
	LostReplies int64 `json:"lost_replies"`
}
