package main

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
)

// warmupTime passes between the start of a testbed and the first measurement, so
// that connections and caches are warm.
const warmupTime = 3 * time.Second

// domainTestbed runs the drentry processes of one failure domain, with stand-ins
// for the backend servers and the platform.
type domainTestbed struct {
	*testbed.Testbed
	dir string
}

func startTestbed(ctx context.Context, bin string, doc *config.Document) (*domainTestbed, error) {
	dir, err := os.MkdirTemp("", "drcapacity")
	if err != nil {
		return nil, errors.Wrap(err, "create the testbed directory")
	}
	b := &domainTestbed{dir: dir}
	for name, value := range map[string]any{"deployment.json": doc.Deployment, "contract.json": doc.Contracts[testbedCustomer]} {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	b.Testbed, err = testbed.Start(ctx, testbed.Options{BinDir: bin, DeploymentDir: dir, WorkDir: dir, LogLevel: "warn"})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return b, wait.Sleep(ctx, warmupTime)
}

func (b *domainTestbed) close() {
	if b.Testbed != nil {
		b.Close()
	}
	_ = os.RemoveAll(b.dir)
}

// snapshot holds the counters of all entry instances and of the platform since
// their start.
type snapshot struct {
	at           time.Time
	entryCount   int
	cpu          time.Duration
	resident     float64
	residentPeak float64
	store        platformstandin.Stats
	ioBytes      float64
	ioCalls      float64
	traffic      map[string]peer.TrafficCounts
}

func (b *domainTestbed) takeSnapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{at: time.Now(), traffic: map[string]peer.TrafficCounts{}}
	pids, err := childProcesses("drentry")
	if err != nil {
		return s, err
	}
	for _, pid := range pids {
		u, err := readUsage(pid)
		if err != nil {
			return s, err
		}
		s.entryCount++
		s.cpu += u.cpu
		s.resident += u.resident
		s.residentPeak += u.residentPeak
		s.ioBytes += u.ioBytes
		s.ioCalls += u.ioCalls
	}
	for _, in := range b.Deployment().EntryInstances {
		if err := s.addTraffic(ctx, in.OperatorAddr); err != nil {
			return s, err
		}
	}
	s.store, err = b.PlatformStats(ctx)
	return s, err
}

// addTraffic adds the peer traffic of one entry instance.
func (s *snapshot) addTraffic(ctx context.Context, operatorAddr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddr+"/debug/vars", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "counters")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "counters")
	}
	defer resp.Body.Close()
	var vars struct {
		Entry struct {
			Traffic map[string]peer.TrafficCounts `json:"peer_traffic"`
		} `json:"dandelionrack"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return errors.Wrap(err, "counters")
	}
	for class, t := range vars.Entry.Traffic {
		sum := s.traffic[class]
		sum.Bytes += t.Bytes
		sum.DataFrames += t.DataFrames
		sum.WindowFrames += t.WindowFrames
		sum.PingFrames += t.PingFrames
		s.traffic[class] = sum
	}
	return nil
}

// trafficRatesSince returns frames and bytes of the peer protocol per entry
// instance and second. It doubles the counters of sent traffic, because what one
// entry instance sends another one receives. The remaining I/O is HTTP, logs and
// the files that go-zero reads for its statistics.
func (s snapshot) trafficRatesSince(first snapshot, entrySeconds float64) []metric {
	var all peer.TrafficCounts
	var out []metric
	for _, class := range slices.Sorted(maps.Keys(s.traffic)) {
		now, then := s.traffic[class], first.traffic[class]
		out = append(out, metric{class + "_bytes_per_s", 2 * float64(now.Bytes-then.Bytes) / entrySeconds})
		all.Bytes += now.Bytes - then.Bytes
		all.DataFrames += now.DataFrames - then.DataFrames
		all.WindowFrames += now.WindowFrames - then.WindowFrames
		all.PingFrames += now.PingFrames - then.PingFrames
	}
	return append(out,
		metric{"peer_bytes_per_s", 2 * float64(all.Bytes) / entrySeconds},
		metric{"other_io_bytes_per_s", (s.ioBytes - first.ioBytes - 2*float64(all.Bytes)) / entrySeconds},
		metric{"data_frames_per_s", 2 * float64(all.DataFrames) / entrySeconds},
		metric{"window_frames_per_s", 2 * float64(all.WindowFrames) / entrySeconds},
		metric{"ping_frames_per_s", 2 * float64(all.PingFrames) / entrySeconds},
		metric{"io_calls_per_s", (s.ioCalls - first.ioCalls) / entrySeconds})
}

// ratesSince returns averages per entry instance: CPU time, store operations and
// traffic per second since first, and the memory of s.
func (s snapshot) ratesSince(first snapshot) []metric {
	entrySeconds := s.at.Sub(first.at).Seconds() * float64(s.entryCount)
	return append([]metric{
		{"core_percent", 100 * (s.cpu - first.cpu).Seconds() / entrySeconds},
		{"resident_mb", s.resident / float64(s.entryCount) / 1e6},
		{"resident_peak_mb", s.residentPeak / float64(s.entryCount) / 1e6},
		{"reads_per_s", float64(s.store.Reads-first.store.Reads) / entrySeconds},
		{"commits_per_s", float64(s.store.Commits-first.store.Commits) / entrySeconds},
		{"writes_per_s", float64(s.store.Writes-first.store.Writes) / entrySeconds},
	}, s.trafficRatesSince(first, entrySeconds)...)
}
