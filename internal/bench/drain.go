package bench

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	// operationPercent is the load under which drains and changes are made.
	operationPercent = 80
	// drainPatience bounds the wait for the end of a drain.
	drainPatience = 30 * time.Second
	// leavingLimit is the time after which a leaving server gets no new work.
	leavingLimit = 3 * time.Second
)

// underLoad runs a function in the middle of a load of the whole system and
// returns the requests.
func (r *runner) underLoad(ctx context.Context, percent int, f func(context.Context) error) ([]loadgen.Result, error) {
	callers, err := r.bed.Callers(callersPerDomain, r.token())
	if err != nil {
		return nil, err
	}
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []loadgen.Result, 1)
	const noEnd = time.Hour
	go func() { results <- loadgen.Run(loaded, callers, r.streams(percent), noEnd) }()
	err = sleepUntil(ctx, time.Now().Add(r.opts.Warmup))
	if err == nil {
		err = f(ctx)
	}
	stop()
	return <-results, err
}

func (r *runner) measureDrain(ctx context.Context) error {
	server := r.bed.Deployment().BackendServers[0].ID
	r.progress("drain of %s at %d %%", server, operationPercent)
	out := &DrainResult{Server: server, Percent: operationPercent}
	var started time.Time
	_, err := r.underLoad(ctx, operationPercent, func(ctx context.Context) error {
		started = time.Now()
		return r.drainOnce(ctx, server, out)
	})
	if err != nil {
		return err
	}
	runs, err := r.bed.BackendRuns(ctx, "server="+server)
	if err != nil {
		return err
	}
	out.addRuns(runs, started)
	r.result.Drain = out
	// The runs were read before, so that none after the drain is counted.
	return r.cancelDrain(ctx, server)
}

func (r *runner) cancelDrain(ctx context.Context, server string) error {
	client, err := r.bed.Operator(r.bed.Deployment().EntryInstances[0].ID)
	if err != nil {
		return err
	}
	doc, err := client.Document(ctx)
	if err != nil {
		return err
	}
	drain := doc.Drains[server]
	if drain == nil {
		return errors.Errorf("no drain of %s in force", server)
	}
	change := config.Change{ID: loadgen.NewKey(), Author: "drbench", At: time.Now()}
	if _, err := client.SubmitChange(ctx, change, config.CancelDrain{Server: server, BaseVersion: drain.Version}); err != nil {
		return errors.Wrap(err, "cancel drain")
	}
	return nil
}

// drainOnce starts a drain and waits until every entry instance reports the
// server idle.
func (r *runner) drainOnce(ctx context.Context, server string, out *DrainResult) error {
	client, err := r.bed.Operator(r.bed.Deployment().EntryInstances[0].ID)
	if err != nil {
		return err
	}
	started := time.Now()
	change := config.Change{ID: loadgen.NewKey(), Author: "drbench", At: started}
	if _, err := client.SubmitChange(ctx, change, config.StartDrain{Server: server, Reason: "bench"}); err != nil {
		return errors.Wrap(err, "start drain")
	}
	err = testbed.WaitFor(ctx, drainPatience, func() error {
		st, err := client.DrainStatus(ctx, server)
		if err != nil {
			return err
		}
		if !st.Idle() {
			return errors.Errorf("in flight: %v, unreachable: %v", st.InFlight, st.Unreachable)
		}
		return nil
	})
	out.Took = config.Duration(time.Since(started))
	return err
}

// addRuns fills in what the ledger of the server shows.
func (d *DrainResult) addRuns(runs []backendstandin.Run, started time.Time) {
	for _, run := range runs {
		if run.End.Before(started) {
			continue
		}
		d.LongestRun = max(d.LongestRun, config.Duration(run.End.Sub(run.Start)))
		d.LastStart = max(d.LastStart, config.Duration(run.Start.Sub(started)))
		if !run.Completed {
			d.Cancelled++
		}
	}
	d.Limit = d.LongestRun + config.Duration(leavingLimit)
}
