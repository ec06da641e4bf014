package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

const (
	// pollInterval is the resolution of the times.
	pollInterval = 100 * time.Millisecond
	// readyTimeout is four times the 80 s that 640 KB take at 8,192 bytes/s.
	readyTimeout = 320 * time.Second
)

// publisher publishes client blocks with drctl to the first entry instance of
// a bed, as an operator does.
type publisher struct {
	bed    *smallBed
	bin    string
	list   []config.ClientBlock
	client *operator.Client
	// last is the entry instance that is watched and replaced. Unless it is the
	// first one too, it has to fetch the blocks.
	last  config.EntryInstance
	watch *operator.Client
}

func newPublisher(b *smallBed, bin string, blocks int, maxRun uint32) (*publisher, error) {
	entries := b.Deployment().EntryInstances
	p := &publisher{bed: b, bin: bin, last: entries[len(entries)-1]}
	// The block of the callers of the bed comes on top.
	p.list = append(sampleBlocks(blocks, maxRun), b.Deployment().ClientBlocks...)
	var err error
	if p.client, err = b.Operator(entries[0].ID); err != nil {
		return nil, err
	}
	p.watch, err = b.Operator(p.last.ID)
	return p, err
}

// moveBlock gives one block to another site.
func (p *publisher) moveBlock() {
	const newSite = plannedSites - 1
	p.list[len(p.list)/2].FailureDomain = siteName(newSite)
}

// moveAll gives every block to another site, so that no chunk stays.
func (p *publisher) moveAll() {
	next := map[string]string{bedDomain: bedDomain}
	for i := range plannedSites {
		next[siteName(i)] = siteName((i*5 + 1) % plannedSites)
	}
	for i := range p.list {
		p.list[i].FailureDomain = next[p.list[i].FailureDomain]
	}
}

// publish runs drctl and waits until the blocks are in force. The row has the
// time of the command and of the switch, and what the entry instance used
// meanwhile.
func (p *publisher) publish(ctx context.Context, out *report, title string) error {
	file, err := p.write()
	if err != nil {
		return err
	}
	first, err := p.bed.sample(ctx)
	if err != nil {
		return err
	}
	before, err := p.watch.Status(ctx)
	if err != nil {
		return err
	}
	uploaded, err := p.drctl(ctx, file)
	if err != nil {
		return err
	}
	command := time.Since(first.at)
	status, err := p.waitForce(ctx, uploaded.Index)
	if err != nil {
		return err
	}
	force := time.Since(first.at)
	last, err := p.bed.sample(ctx)
	if err != nil {
		return err
	}
	out.row(title, field{"command_s", command.Seconds()}, field{"in_force_s", force.Seconds()},
		field{"uploaded_objects", float64(uploaded.Uploaded)}, field{"uploaded_bytes", float64(uploaded.Bytes)},
		field{"fetched_bytes", float64(status.ClientBlocks.Fetched.Bytes - before.ClientBlocks.Fetched.Bytes)},
		field{"entry_cpu_ms", millis(last.cpu-first.cpu) / float64(last.entries)},
		field{"resident_mb", last.resident / float64(last.entries) / 1e6}, field{"resident_peak_mb", last.peak / float64(last.entries) / 1e6})
	return nil
}

func (p *publisher) write() (string, error) {
	type block struct {
		Prefix string `json:"prefix"`
		Target string `json:"target"`
	}
	list := make([]block, len(p.list))
	for i, b := range p.list {
		list[i] = block{b.Prefix, b.FailureDomain}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return "", errors.Wrap(err, "client blocks")
	}
	file := filepath.Join(p.bed.dir, "blocks.json")
	return file, os.WriteFile(file, data, 0o600)
}

// uploadResult is the part of the output of drctl that is used here.
type uploadResult struct {
	Index    string `json:"index"`
	Uploaded int    `json:"uploaded"`
	Bytes    int    `json:"uploaded_bytes"`
}

func (p *publisher) drctl(ctx context.Context, file string) (uploadResult, error) {
	var out uploadResult
	token := filepath.Join(p.bed.dir, "operator-token")
	if err := os.WriteFile(token, []byte(testbed.OperatorToken), 0o600); err != nil {
		return out, err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(p.bin, "drctl"), "--server", p.client.BaseURL(),
		"--token-file", token, "--output", "json", "blocks", "publish", file)
	data, err := cmd.Output()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return out, errors.Errorf("drctl: %v: %s", err, exit.Stderr)
	}
	if err != nil {
		return out, errors.Wrap(err, "drctl")
	}
	return out, json.Unmarshal(data, &out)
}

// restart replaces the entry instance and waits until it is ready.
func (p *publisher) restart(ctx context.Context, out *report, title string) error {
	if err := p.bed.Kill(p.last.ID); err != nil {
		return err
	}
	start := time.Now()
	if err := p.bed.RestartEntry(p.last.ID); err != nil {
		return err
	}
	if err := p.waitReady(ctx); err != nil {
		return err
	}
	ready := time.Since(start)
	s, err := p.usage()
	if err != nil {
		return err
	}
	status, err := p.watch.Status(ctx)
	if err != nil {
		return err
	}
	fetched := status.ClientBlocks.Fetched
	out.row(title, field{"ready_s", ready.Seconds()}, field{"fetched_bytes", float64(fetched.Bytes)},
		field{"objects", float64(fetched.FromPeers + fetched.FromStore)}, field{"entry_cpu_ms", millis(s.cpu)},
		field{"core_percent", 100 * s.cpu.Seconds() / ready.Seconds()},
		field{"resident_mb", s.resident / 1e6}, field{"resident_peak_mb", s.residentPeak / 1e6})
	return nil
}

// usage is that of the youngest entry instance, the one that was replaced.
func (p *publisher) usage() (usage, error) {
	pids, err := children("drentry")
	if err != nil {
		return usage{}, err
	}
	if len(pids) == 0 {
		return usage{}, errors.New("no entry instance is running")
	}
	return usageOf(slices.MaxFunc(pids, func(a, b int) int { return cmp.Compare(startOf(a), startOf(b)) }))
}

// startOf is the start time of a process in clock ticks since the boot. Process
// ids do not tell it, because they are used again.
func startOf(pid int) uint64 {
	const startTime = 19 // after the name
	fields, err := statFields(filepath.Join("/proc", strconv.Itoa(pid)))
	if err != nil || len(fields) <= startTime {
		return 0
	}
	ticks, _ := strconv.ParseUint(fields[startTime], 10, 64)
	return ticks
}

// waitReady asks for the readiness only: a status costs the entry instance a
// read of the platform, and its CPU time is measured meanwhile.
func (p *publisher) waitReady(ctx context.Context) error {
	url := "http://" + p.last.CallerAddr + "/v1/ready"
	return pollUntil(ctx, func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

func (p *publisher) waitForce(ctx context.Context, index string) (operator.EntryStatus, error) {
	var status operator.EntryStatus
	return status, pollUntil(ctx, func(ctx context.Context) (err error) {
		status, err = p.watch.Status(ctx)
		if err == nil && status.ClientBlocks.Index != index {
			return errors.Errorf("index %q is in force", status.ClientBlocks.Index)
		}
		return err
	})
}

// pollUntil repeats a check: an entry instance that has just started refuses
// connections.
func pollUntil(ctx context.Context, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if wait.Sleep(ctx, pollInterval) != nil {
			return errors.Wrap(err, "not reached in time")
		}
	}
}
