package fleet

import "time"

// InstanceConfig is what an entry instance learns about itself and its surroundings at
// its start and when its settings change.
type InstanceConfig struct {
	ID            string
	FailureDomain string
	Region        string
	// DomainRegions maps each failure domain to its region.
	DomainRegions map[string]string
	// Addresses to listen on.
	ClientAddr, ReadyAddr, PeerAddr, DirectoryAddr string
	// MetricsAddr is empty if nothing reads the metrics.
	MetricsAddr string
	// Seeds are peer addresses of a few entry instances, possibly stale.
	Seeds []string
	// StoreAddr is host:port of the platform's metadata store.
	StoreAddr string
	// HeartbeatInterval is the interval of the registrations of backend servers.
	HeartbeatInterval time.Duration
	MaxOpenFiles      int
	LinkMbps          float64 // capacity of the machine's link; 0 if it is not known
	Bounds            Bounds
}

// Bounds are the limits that the system as a whole must keep.
type Bounds struct {
	// Grace is the time from the stop signal to the kill.
	Grace time.Duration
	// Drain is the time after which a leaving server gets no new request.
	Drain time.Duration
	// ConfigApply is the time after which an accepted document is in force.
	ConfigApply time.Duration
	// MaxLookupTTL is the longest time for which clients keep an answer of
	// the directory.
	MaxLookupTTL time.Duration
	// Within RetryWindow a service may get RetryRatio times its requests plus
	// RetryExtra repeated sends, summed over all entry instances.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  float64
	// A cold server may get its tolerated rate times ColdOver plus ColdSlack
	// requests in a second, summed over all entry instances.
	ColdOver, ColdSlack float64
	// MaxShift is the share of a region's requests that may change their
	// serving region from one window to the next.
	MaxShift float64
}

// DefaultBounds hold where a platform names no bound: those of the smaller
// deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Grace: 6 * time.Second, Drain: 2500 * time.Millisecond, ConfigApply: 2500 * time.Millisecond,
		MaxLookupTTL: 5 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2,
		RetryExtra: 50, ColdOver: 1.5, ColdSlack: 5, MaxShift: 0.15,
	}
}
