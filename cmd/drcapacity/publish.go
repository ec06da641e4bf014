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
	// pollInterval is the resolution of the measured times.
	pollInterval = 100 * time.Millisecond
	// readyTimeout is four times the 80 s that fetching 640 KB takes at 8,192 bytes/s.
	readyTimeout = 320 * time.Second
)

// publisher publishes client blocks to the first entry instance of a testbed. It
// uses drctl, as an operator does.
type publisher struct {
	testbed      *domainTestbed
	bin          string
	clientBlocks []config.ClientBlock
	firstClient  *operator.Client
	// last is the entry instance that is measured and restarted. Unless it is also
	// the first one, it has to fetch the blocks.
	last       config.EntryInstance
	lastClient *operator.Client
}

func newPublisher(b *domainTestbed, bin string, blocks int, maxRun uint32) (*publisher, error) {
	entries := b.Deployment().EntryInstances
	p := &publisher{testbed: b, bin: bin, last: entries[len(entries)-1]}
	// The client block of the testbed's own callers is added to the sample.
	p.clientBlocks = append(sampleBlocks(blocks, maxRun), b.Deployment().ClientBlocks...)
	var err error
	if p.firstClient, err = b.Operator(entries[0].ID); err != nil {
		return nil, err
	}
	p.lastClient, err = b.Operator(p.last.ID)
	return p, err
}

// moveBlock assigns one block to another site.
func (p *publisher) moveBlock() {
	const newSite = plannedSites - 1
	p.clientBlocks[len(p.clientBlocks)/2].FailureDomain = siteName(newSite)
}

// moveAll assigns every block to another site, so that every chunk changes.
func (p *publisher) moveAll() {
	next := map[string]string{testbedDomain: testbedDomain}
	for i := range plannedSites {
		next[siteName(i)] = siteName((i*5 + 1) % plannedSites)
	}
	for i := range p.clientBlocks {
		p.clientBlocks[i].FailureDomain = next[p.clientBlocks[i].FailureDomain]
	}
}

// publish runs drctl and waits until the blocks are in force at the last entry
// instance. The row has both durations, and the CPU time and memory per entry
// instance.
func (p *publisher) publish(ctx context.Context, out *report, title string) error {
	file, err := p.writeBlocks()
	if err != nil {
		return err
	}
	first, err := p.testbed.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	before, err := p.lastClient.Status(ctx)
	if err != nil {
		return err
	}
	uploaded, err := p.drctl(ctx, file)
	if err != nil {
		return err
	}
	command := time.Since(first.at)
	status, err := p.waitInForce(ctx, uploaded.Index)
	if err != nil {
		return err
	}
	inForce := time.Since(first.at)
	last, err := p.testbed.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	out.row(title, metric{"command_s", command.Seconds()}, metric{"in_force_s", inForce.Seconds()},
		metric{"uploaded_objects", float64(uploaded.Uploaded)}, metric{"uploaded_bytes", float64(uploaded.Bytes)},
		metric{"fetched_bytes", float64(status.ClientBlocks.Fetched.Bytes - before.ClientBlocks.Fetched.Bytes)},
		metric{"entry_cpu_ms", millis(last.cpu-first.cpu) / float64(last.entryCount)},
		metric{"resident_mb", last.resident / float64(last.entryCount) / 1e6}, metric{"resident_peak_mb", last.residentPeak / float64(last.entryCount) / 1e6})
	return nil
}

func (p *publisher) writeBlocks() (string, error) {
	type block struct {
		Prefix string `json:"prefix"`
		Target string `json:"target"`
	}
	list := make([]block, len(p.clientBlocks))
	for i, b := range p.clientBlocks {
		list[i] = block{b.Prefix, b.FailureDomain}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return "", errors.Wrap(err, "client blocks")
	}
	file := filepath.Join(p.testbed.dir, "blocks.json")
	return file, os.WriteFile(file, data, 0o600)
}

// uploadResult is the part of the JSON output of drctl that is used here.
type uploadResult struct {
	Index    string `json:"index"`
	Uploaded int    `json:"uploaded"`
	Bytes    int    `json:"uploaded_bytes"`
}

func (p *publisher) drctl(ctx context.Context, file string) (uploadResult, error) {
	var out uploadResult
	token := filepath.Join(p.testbed.dir, "operator-token")
	if err := os.WriteFile(token, []byte(testbed.OperatorToken), 0o600); err != nil {
		return out, err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(p.bin, "drctl"), "--server", p.firstClient.BaseURL(),
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

// restart kills and restarts the last entry instance and waits until it is ready.
func (p *publisher) restart(ctx context.Context, out *report, title string) error {
	if err := p.testbed.Kill(p.last.ID); err != nil {
		return err
	}
	start := time.Now()
	if err := p.testbed.RestartEntry(p.last.ID); err != nil {
		return err
	}
	if err := p.waitReady(ctx); err != nil {
		return err
	}
	ready := time.Since(start)
	u, err := p.lastUsage()
	if err != nil {
		return err
	}
	status, err := p.lastClient.Status(ctx)
	if err != nil {
		return err
	}
	fetched := status.ClientBlocks.Fetched
	out.row(title, metric{"ready_s", ready.Seconds()}, metric{"fetched_bytes", float64(fetched.Bytes)},
		metric{"objects", float64(fetched.FromPeers + fetched.FromStore)}, metric{"entry_cpu_ms", millis(u.cpu)},
		metric{"core_percent", 100 * u.cpu.Seconds() / ready.Seconds()},
		metric{"resident_mb", u.resident / 1e6}, metric{"resident_peak_mb", u.residentPeak / 1e6})
	return nil
}

// lastUsage returns the usage of the youngest drentry process, the restarted one.
func (p *publisher) lastUsage() (processUsage, error) {
	pids, err := childProcesses("drentry")
	if err != nil {
		return processUsage{}, err
	}
	if len(pids) == 0 {
		return processUsage{}, errors.New("no entry instance is running")
	}
	return readUsage(slices.MaxFunc(pids, func(a, b int) int { return cmp.Compare(startTicks(a), startTicks(b)) }))
}

// startTicks returns the start time of a process in clock ticks since boot.
// Process ids do not give the order, because they are reused.
func startTicks(pid int) uint64 {
	const startTime = 19 // after the name
	fields, err := statFields(filepath.Join("/proc", strconv.Itoa(pid)))
	if err != nil || len(fields) <= startTime {
		return 0
	}
	ticks, _ := strconv.ParseUint(fields[startTime], 10, 64)
	return ticks
}

// waitReady polls the readiness endpoint. A status call would make the entry
// instance read from the platform while its CPU time is measured.
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

// waitInForce waits until the last entry instance uses the index.
func (p *publisher) waitInForce(ctx context.Context, index string) (operator.EntryStatus, error) {
	var status operator.EntryStatus
	return status, pollUntil(ctx, func(ctx context.Context) (err error) {
		status, err = p.lastClient.Status(ctx)
		if err == nil && status.ClientBlocks.Index != index {
			return errors.Errorf("index %q is in force", status.ClientBlocks.Index)
		}
		return err
	})
}

// pollUntil repeats a check until it succeeds. Errors are retried, because an
// entry instance that has just started refuses connections.
func pollUntil(ctx context.Context, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if wait.Sleep(ctx, pollInterval) != nil {
			return errors.Wrap(err, "condition not met in time")
		}
	}
}
