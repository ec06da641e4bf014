package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	linkstandin "github.com/dandelionrack/dandelionrack/internal/standin/link"
	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// sampleInterval is the time between two samples of slots and connections.
const sampleInterval = 100 * time.Millisecond

// snapshot holds the counters of the stand-ins at a point in time.
type snapshot struct {
	at       time.Time
	platform platformstandin.Stats
	backends map[string]backendstandin.Stats
	links    []linkstandin.Report
}

func (r *runner) snapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now()}
	var err error
	if s.platform, err = r.testbed.PlatformStats(ctx); err != nil {
		return s, err
	}
	if s.backends, err = r.testbed.BackendStats(ctx); err != nil {
		return s, err
	}
	s.links, err = r.linkReports(ctx)
	return s, err
}

// linkReports reads the byte counts of the links. The address of their admin
// API is in the settings file that the testbed wrote for them.
func (r *runner) linkReports(ctx context.Context) ([]linkstandin.Report, error) {
	data, err := os.ReadFile(filepath.Join(r.dir, "drlink.json"))
	if err != nil {
		return nil, err
	}
	var settings linkstandin.Settings
	if err := json.Unmarshal(data, &settings); err != nil {
		return nil, errors.Wrap(err, "settings of the links")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+settings.Admin+"/admin/links", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var out []linkstandin.Report
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "reports of the links")
	}
	return out, nil
}

// usageSamples aggregates samples of free slots and open connections.
type usageSamples struct {
	services    map[string]*freeSlots
	connections int64 // maximum of open connections
}

type freeSlots struct {
	slots, samples, sum, min int
}

func (f *freeSlots) mean() float64 { return float64(f.sum) / float64(max(f.samples, 1)) }

// add takes one sample of all backend servers.
func (u *usageSamples) add(dep config.Deployment, stats map[string]backendstandin.Stats) {
	free := map[string]int{}
	slots := map[string]int{}
	var connections int64
	for _, server := range dep.BackendServers {
		s := stats[server.ID]
		connections += s.OpenConnections
		for _, name := range server.Services {
			free[name] += max(s.Slots-s.InFlight, 0)
			slots[name] += s.Slots
		}
	}
	u.connections = max(u.connections, connections)
	for name, n := range free {
		f := u.services[name]
		if f == nil {
			f = &freeSlots{slots: slots[name], min: n}
			u.services[name] = f
		}
		f.samples++
		f.sum += n
		f.min = min(f.min, n)
	}
}

// sampleUntil takes samples until the given time.
func (r *runner) sampleUntil(ctx context.Context, until time.Time) (*usageSamples, error) {
	u := &usageSamples{services: map[string]*freeSlots{}}
	for {
		stats, err := r.testbed.BackendStats(ctx)
		if err != nil {
			return u, err
		}
		u.add(r.testbed.Deployment(), stats)
		if time.Until(until) < sampleInterval {
			return u, sleepUntil(ctx, until)
		}
		if err := sleepUntil(ctx, time.Now().Add(sampleInterval)); err != nil {
			return u, err
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) error {
	return wait.Sleep(ctx, time.Until(at))
}

// addCounters sets the rates and counts between two snapshots.
func (l *LoadResult) addCounters(tb *testbed.Testbed, before, after snapshot) {
	seconds := after.at.Sub(before.at).Seconds()
	l.StoreReads = float64(after.platform.Reads-before.platform.Reads) / seconds
	l.StoreCommits = float64(after.platform.Commits-before.platform.Commits) / seconds
	l.StoreWrites = float64(after.platform.Writes-before.platform.Writes) / seconds
	l.Overruns = overruns(before, after)
	for name, bytes := range linkGroupBytes(before, after) {
		rate := float64(bytes) / seconds
		l.LinkBytes += rate
		if rate > l.BusiestLinkBytes {
			l.BusiestLink, l.BusiestLinkBytes = name, rate
		}
	}
	if bits := tb.Deployment().DefaultLinkBitsPerSecond; bits > 0 {
		l.BusiestLinkPercent = 100 * 8 * l.BusiestLinkBytes / float64(bits)
	}
}

func overruns(before, after snapshot) int64 {
	var n int64
	for id, s := range after.backends {
		n += s.Overruns - before.backends[id].Overruns
	}
	return n
}

// linkGroupBytes returns the bytes per link group and direction. Links without a
// group do not cross regions.
func linkGroupBytes(before, after snapshot) map[string]int64 {
	out := map[string]int64{}
	count := func(links []linkstandin.Report, sign int64) {
		for _, l := range links {
			if l.Group != "" {
				forward, reverse := l.ForwardBytes, l.ReverseBytes
				if l.Backward {
					forward, reverse = reverse, forward
				}
				out[l.Group+" forward"] += sign * forward
				out[l.Group+" reverse"] += sign * reverse
			}
		}
	}
	count(after.links, 1)
	count(before.links, -1)
	return out
}

// machineLoad returns the 1-minute load average, 0 if it cannot be read.
func machineLoad() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
