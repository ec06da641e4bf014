// Package burn counts good and bad responses by customer and service and
// reports the burn rate of the error budget over 5 min, 1 h and 6 h.
//
// The package does no I/O and reads no clock: times are arguments. Counters is
// safe for concurrent use.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Window is the name of a reporting period.
type Window string

// Reporting periods.
const (
	Window5m Window = "5m"
	Window1h Window = "1h"
	Window6h Window = "6h"
)

// Windows lists all reporting periods, shortest first.
var Windows = []Window{Window5m, Window1h, Window6h}

// The length of a window is accurate to one bucket width, so the 5 min window
// has narrow buckets. The long windows share wider ones to limit memory.
const (
	fineWidth        = 10 * time.Second
	fineBuckets      = 30
	wideWidth        = time.Minute
	wideBuckets      = 360
	hourBuckets      = 60
	defaultMaxSeries = 256
)

// Config holds the limits of Counters.
type Config struct {
	// MaxSeries limits the pairs of customer and service; each takes about
	// 9 KB. Records of further pairs are counted as dropped.
	MaxSeries int
}

type seriesKey struct {
	customer, service string
}

type series struct {
	fine ring
	wide ring
}

// Counters holds the counts of one entry instance.
type Counters struct {
	cfg Config

	mu      sync.Mutex
	series  map[seriesKey]*series
	dropped int64
}

// New returns Counters without any counts.
func New(cfg Config) *Counters {
	if cfg.MaxSeries <= 0 {
		cfg.MaxSeries = defaultMaxSeries
	}
	return &Counters{cfg: cfg, series: make(map[seriesKey]*series)}
}

// Record counts one response. service is the canonical name, not an alias.
func (c *Counters) Record(now time.Time, customer, service string, good bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.seriesFor(seriesKey{customer: customer, service: service})
	if s == nil {
		c.dropped++
		return
	}
	s.fine.add(now, good)
	s.wide.add(now, good)
}

func (c *Counters) seriesFor(key seriesKey) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= c.cfg.MaxSeries {
		return nil
	}
	s := &series{fine: newRing(fineWidth, fineBuckets), wide: newRing(wideWidth, wideBuckets)}
	c.series[key] = s
	return s
}

// Counts holds the numbers of good and bad responses of one window.
type Counts struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad}
}

// Series holds the counts of one service.
type Series struct {
	Customer string            `json:"customer"`
	Service  string            `json:"service"`
	Windows  map[Window]Counts `json:"windows"`
}

// Snapshot holds all counts at one time. Merge combines the snapshots of several
// entry instances.
type Snapshot struct {
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
	// Dropped counts the records of series beyond Config.MaxSeries.
	Dropped int64 `json:"dropped,omitempty"`
}

// Snapshot returns the counts of the windows that end at now.
func (c *Counters) Snapshot(now time.Time) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Snapshot{At: now, Series: make([]Series, 0, len(c.series)), Dropped: c.dropped}
	for key, s := range c.series {
		out.Series = append(out.Series, Series{
			Customer: key.customer,
			Service:  key.service,
			Windows: map[Window]Counts{
				Window5m: s.fine.sum(now, fineBuckets),
				Window1h: s.wide.sum(now, hourBuckets),
				Window6h: s.wide.sum(now, wideBuckets),
			},
		})
	}
	sortSeries(out.Series)
	return out
}

// Merge adds up the counts of several snapshots. The result has the latest of
// their times.
func Merge(snapshots ...Snapshot) Snapshot {
	out := Snapshot{Series: []Series{}}
	index := make(map[seriesKey]int)
	for _, snap := range snapshots {
		if snap.At.After(out.At) {
			out.At = snap.At
		}
		out.Dropped += snap.Dropped
		for _, s := range snap.Series {
			out.add(index, s)
		}
	}
	sortSeries(out.Series)
	return out
}

func (s *Snapshot) add(index map[seriesKey]int, in Series) {
	key := seriesKey{customer: in.Customer, service: in.Service}
	i, ok := index[key]
	if !ok {
		i = len(s.Series)
		index[key] = i
		s.Series = append(s.Series, Series{
			Customer: in.Customer,
			Service:  in.Service,
			Windows:  make(map[Window]Counts, len(Windows)),
		})
	}
	for w, counts := range in.Windows {
		s.Series[i].Windows[w] = s.Series[i].Windows[w].plus(counts)
	}
}

func sortSeries(list []Series) {
	slices.SortFunc(list, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
	})
}
