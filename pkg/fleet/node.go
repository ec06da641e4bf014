package fleet

import "time"

// InstanceConfig holds the settings that the platform gives an entry instance at
// its start and when they change.
type InstanceConfig struct {
	ID            string
	FailureDomain string
	Region        string
	// DomainRegions maps each failure domain to its region.
	DomainRegions map[string]string
	// ClientAddr, ReadyAddr, PeerAddr and DirectoryAddr are listen addresses.
	ClientAddr, ReadyAddr, PeerAddr, DirectoryAddr string
	// MetricsAddr is empty if metrics are not served.
	MetricsAddr string
	// Seeds lists the peer addresses of a few entry instances, possibly stale.
	Seeds []string
	// FirstStart says that the whole deployment starts for the first time, before
	// there are clients.
	FirstStart bool
	// StoreAddr is host:port of the platform's metadata store.
	StoreAddr string
	// HeartbeatInterval is the interval at which backend servers renew their
	// registrations.
	HeartbeatInterval time.Duration
	MaxOpenFiles      int
	// MemoryBytes is the memory of the process, beyond which the platform ends it; 0
	// if unknown.
	MemoryBytes int64
	LinkMbps    float64 // capacity of the machine's network link; 0 if unknown
	Bounds      Bounds
}

// Bounds are the limits that the system as a whole must keep.
type Bounds struct {
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Drain is the time after which a draining server gets no new requests.
	Drain time.Duration
	// ConfigApply is the time within which an accepted document takes effect.
	ConfigApply time.Duration
	// MaxLookupTTL is the longest time for which clients cache a response of
	// the directory.
	MaxLookupTTL time.Duration
	// Within RetryWindow, a service may get RetryRatio times its requests plus
	// RetryExtra retries, summed over all entry instances.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  float64
	// A cold server may get Service.ColdPerSecond times ColdOver plus ColdSlack
	// requests in a second, summed over all entry instances.
	ColdOver, ColdSlack float64
	// MaxShift is the share of a region's requests that may change their
	// serving region from one window to the next.
	MaxShift float64
	// Within QuotaWindow, all entry instances together may run the requests that an
	// organisation's quota allows, times 1 + QuotaOverage, plus QuotaSlack.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
}

// Propagation returns the time within which a change in the store must take effect at
// all instances.
func (b Bounds) Propagation() time.Duration { return min(b.ConfigApply, b.Drain) }

// DefaultBounds returns the bounds used where the platform sets none: those of
// the smaller deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Grace: 6 * time.Second, Drain: 2500 * time.Millisecond, ConfigApply: 2500 * time.Millisecond,
		MaxLookupTTL: 5 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2,
		RetryExtra: 50, ColdOver: 1.5, ColdSlack: 5, MaxShift: 0.15,
	}
}
