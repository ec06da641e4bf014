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

// settleTime passes between the start of a bed and the first figure, so that
// connections and caches are warm.
const settleTime = 3 * time.Second

// smallBed runs n drentry processes of one failure domain with stand-ins.
type smallBed struct {
	*testbed.Testbed
	dir string
}

func startBed(ctx context.Context, bin string, doc *config.Document) (*smallBed, error) {
	dir, err := os.MkdirTemp("", "drcapacity")
	if err != nil {
		return nil, errors.Wrap(err, "folder of the bed")
	}
	b := &smallBed{dir: dir}
	for name, value := range map[string]any{"deployment.json": doc.Deployment, "contract.json": doc.Contracts[bedCustomer]} {
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
	return b, wait.Sleep(ctx, settleTime)
}

func (b *smallBed) close() {
	if b.Testbed != nil {
		b.Close()
	}
	_ = os.RemoveAll(b.dir)
}

// sample is what the entry instances and the platform did since the start.
type sample struct {
	at       time.Time
	entries  int
	cpu      time.Duration
	resident float64
	peak     float64
	store    platformstandin.Stats
	ioBytes  float64
	ioCalls  float64
	traffic  map[string]peer.TrafficCounts
}

func (b *smallBed) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now(), traffic: map[string]peer.TrafficCounts{}}
	pids, err := children("drentry")
	if err != nil {
		return s, err
	}
	for _, pid := range pids {
		u, err := usageOf(pid)
		if err != nil {
			return s, err
		}
		s.entries++
		s.cpu += u.cpu
		s.resident += u.resident
		s.peak += u.residentPeak
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

// addTraffic reads the counters of one entry instance.
func (s *sample) addTraffic(ctx context.Context, operatorAddr string) error {
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
	for lane, t := range vars.Entry.Traffic {
		sum := s.traffic[lane]
		sum.Bytes += t.Bytes
		sum.DataFrames += t.DataFrames
		sum.WindowFrames += t.WindowFrames
		sum.PingFrames += t.PingFrames
		s.traffic[lane] = sum
	}
	return nil
}

// trafficSince are frames and bytes of the peer protocol per entry instance
// and second, sent and received: what one sends another one receives. Other
// transfers are HTTP, the files that go-zero reads for its statistics, and logs.
func (s sample) trafficSince(first sample, per float64) []field {
	var all peer.TrafficCounts
	var out []field
	for _, lane := range slices.Sorted(maps.Keys(s.traffic)) {
		now, then := s.traffic[lane], first.traffic[lane]
		out = append(out, field{lane + "_bytes_per_s", 2 * float64(now.Bytes-then.Bytes) / per})
		all.Bytes += now.Bytes - then.Bytes
		all.DataFrames += now.DataFrames - then.DataFrames
		all.WindowFrames += now.WindowFrames - then.WindowFrames
		all.PingFrames += now.PingFrames - then.PingFrames
	}
	return append(out,
		field{"peer_bytes_per_s", 2 * float64(all.Bytes) / per},
		field{"other_io_bytes_per_s", (s.ioBytes - first.ioBytes - 2*float64(all.Bytes)) / per},
		field{"data_frames_per_s", 2 * float64(all.DataFrames) / per},
		field{"window_frames_per_s", 2 * float64(all.WindowFrames) / per},
		field{"ping_frames_per_s", 2 * float64(all.PingFrames) / per},
		field{"io_calls_per_s", (s.ioCalls - first.ioCalls) / per})
}

// since are the figures per entry instance and second between two samples.
func (s sample) since(first sample) []field {
	per := s.at.Sub(first.at).Seconds() * float64(s.entries)
	return append([]field{
		{"core_percent", 100 * (s.cpu - first.cpu).Seconds() / per},
		{"resident_mb", s.resident / float64(s.entries) / 1e6},
		{"resident_peak_mb", s.peak / float64(s.entries) / 1e6},
		{"reads_per_s", float64(s.store.Reads-first.store.Reads) / per},
		{"commits_per_s", float64(s.store.Commits-first.store.Commits) / per},
		{"writes_per_s", float64(s.store.Writes-first.store.Writes) / per},
	}, s.trafficSince(first, per)...)
}
