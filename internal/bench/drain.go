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
	// operationPercent is the load during drains and changes.
	operationPercent = 80
	// drainTimeout bounds the wait for the end of a drain.
	drainTimeout = 30 * time.Second
	// drainStartLimit is the time from the start of a drain after which the
	// server must get no new requests.
	drainStartLimit = 3 * time.Second
)

// underLoad runs f after the warm-up of a load on the whole system, stops the
// load when f returns, and returns the results of the requests.
func (r *runner) underLoad(ctx context.Context, percent int, f func(context.Context) error) ([]loadgen.Result, error) {
	callers, err := r.testbed.Callers(callersPerDomain, r.token())
	if err != nil {
		return nil, err
	}
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []loadgen.Result, 1)
	const maxLoadTime = time.Hour
	go func() { results <- loadgen.Run(loaded, callers, r.streams(percent), maxLoadTime) }()
	err = sleepUntil(ctx, time.Now().Add(r.opts.Warmup))
	if err == nil {
		err = f(ctx)
	}
	stop()
	return <-results, err
}

func (r *runner) measureDrain(ctx context.Context) error {
	server := r.testbed.Deployment().BackendServers[0].ID
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
	runs, err := r.testbed.BackendRuns(ctx, "server="+server)
	if err != nil {
		return err
	}
	out.addRuns(runs, started)
	r.result.Drain = out
	// The runs are read before the drain is cancelled, so that later runs do not
	// count.
	return r.cancelDrain(ctx, server)
}

func (r *runner) cancelDrain(ctx context.Context, server string) error {
	client, err := r.testbed.Operator(r.testbed.Deployment().EntryInstances[0].ID)
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
	client, err := r.testbed.Operator(r.testbed.Deployment().EntryInstances[0].ID)
	if err != nil {
		return err
	}
	started := time.Now()
	change := config.Change{ID: loadgen.NewKey(), Author: "drbench", At: started}
	if _, err := client.SubmitChange(ctx, change, config.StartDrain{Server: server, Reason: "bench"}); err != nil {
		return errors.Wrap(err, "start drain")
	}
	err = testbed.WaitFor(ctx, drainTimeout, func() error {
		st, err := client.DrainStatus(ctx, server)
		if err != nil {
			return err
		}
		if !st.Idle() {
			return errors.Errorf("in flight: %v, unreachable: %v", st.InFlight, st.Unreachable)
		}
		return nil
	})
	out.TimeToIdle = config.Duration(time.Since(started))
	return err
}

// addRuns sets the figures that come from the runs in the server's ledger.
func (d *DrainResult) addRuns(runs []backendstandin.Run, started time.Time) {
	for _, run := range runs {
		if run.End.Before(started) {
			continue
		}
		d.LongestRun = max(d.LongestRun, config.Duration(run.End.Sub(run.Start)))
		d.LastRunStart = max(d.LastRunStart, config.Duration(run.Start.Sub(started)))
		if !run.Completed {
			d.RunsNotCompleted++
		}
	}
	d.Limit = d.LongestRun + config.Duration(drainStartLimit)
}
