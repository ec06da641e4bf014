package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// settleTime passes between the start of a bed and the first figure, so that
// connections and caches are warm.
const settleTime = 3 * time.Second

// smallBed runs n drentry processes of one failure domain with stand-ins.
type smallBed struct {
	*testbed.Bed
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
	b.Bed, err = testbed.Start(ctx, testbed.Options{Bin: bin, Deployment: dir, Dir: dir, LogLevel: "warn"})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return b, sleep(ctx, settleTime)
}

func (b *smallBed) close() {
	if b.Bed != nil {
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
}

func (b *smallBed) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now()}
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
	}
	s.store, err = b.PlatformStats(ctx)
	return s, err
}

// since are the figures per entry instance and second between two samples.
func (s sample) since(first sample) []field {
	per := s.at.Sub(first.at).Seconds() * float64(s.entries)
	return []field{
		{"core_percent", 100 * (s.cpu - first.cpu).Seconds() / per},
		{"resident_mb", s.resident / float64(s.entries) / 1e6},
		{"resident_peak_mb", s.peak / float64(s.entries) / 1e6},
		{"reads_per_s", float64(s.store.Reads-first.store.Reads) / per},
		{"commits_per_s", float64(s.store.Commits-first.store.Commits) / per},
		{"writes_per_s", float64(s.store.Writes-first.store.Writes) / per},
	}
}
