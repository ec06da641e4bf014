package platform

import (
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Settings configure the stand-in.
type Settings struct {
	Addr string `json:"addr"` // host:port; port 0 picks one
	// TransactionsPerSecond bounds commits and object writes; 0 is no bound.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// ReadsPerSecond bounds reads of all kinds; 0 is no bound.
	ReadsPerSecond float64 `json:"reads_per_second"`
	// InstanceLag is the age of the instance list that callers see.
	InstanceLag config.Duration `json:"instance_lag"`
	// Instances is the list at start; it is visible at once.
	Instances []platform.Instance `json:"instances"`
}

// DefaultSettings are limits within what the design page assumes of the
// platform.
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
	OutageRefuse Outage = "refuse" // 503 with Not-Written
	OutageDrop   Outage = "drop"   // the connection breaks before anything happens
	OutageHang   Outage = "hang"   // no answer until the outage ends, then as drop
)

// Fault is the behaviour set by POST /admin/fault. Keys that are absent from
// the body are reset.
type Fault struct {
	Outage Outage `json:"down"`
	// Latency is added before a request takes effect. A write takes effect
	// after it even if its client has gone.
	Latency config.Duration `json:"latency"`
	// LoseReplies breaks the connection after each of the next commits that
	// took effect.
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
	return f.Latency >= 0 && f.LoseReplies >= 0 && stale >= 0 && stale <= historyAge
}

// Stats is the answer of GET /admin/stats.
type Stats struct {
	Commits     int64 `json:"commits"` // transactions that took effect
	Conflicts   int64 `json:"conflicts"`
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"` // rows and objects written or deleted
	RateRefused int64 `json:"rate_refused"`
	DownRefused int64 `json:"down_refused"`
	LostReplies int64 `json:"lost_replies"`
}
