package bench

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	// changeCount is the number of changes, spread over the entry instances.
	changeCount = 24
	// changeTimeout bounds the wait until a change is in force.
	changeTimeout = 20 * time.Second
)

func (r *runner) measureChanges(ctx context.Context) error {
	r.progress("%d changes at %d %%", changeCount, operationPercent)
	var accepted, inForce []time.Duration
	_, err := r.underLoad(ctx, operationPercent, func(ctx context.Context) error {
		entries := r.testbed.Deployment().EntryInstances
		for i := range changeCount {
			a, f, err := r.changeOnce(ctx, entries[i%len(entries)].ID)
			if err != nil {
				return errors.Wrapf(err, "change %d", i)
			}
			accepted = append(accepted, a)
			inForce = append(inForce, f)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.result.Changes = &ChangeResult{
		Changes:    changeCount,
		Percent:    operationPercent,
		AcceptP50:  median(accepted),
		AcceptMax:  config.Duration(slices.Max(accepted)),
		InForceP50: median(inForce),
		InForceMax: config.Duration(slices.Max(inForce)),
	}
	return nil
}

func median(list []time.Duration) config.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return config.Duration(sorted[len(sorted)/2])
}

// changeOnce applies the contract again through one entry instance. It returns
// the time until the change was accepted, and the time from then until it was in
// force at every entry instance.
func (r *runner) changeOnce(ctx context.Context, through string) (accepted, inForce time.Duration, err error) {
	client, err := r.testbed.Operator(through)
	if err != nil {
		return 0, 0, err
	}
	doc, err := client.Document(ctx)
	if err != nil {
		return 0, 0, err
	}
	contract := doc.Contracts[r.testbed.Contract().Customer]
	if contract == nil {
		return 0, 0, errors.New("entry instance has no contract")
	}
	started := time.Now()
	change := config.Change{ID: loadgen.NewKey(), Author: "drbench", At: started}
	next, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: *contract, BaseVersion: contract.Version})
	if err != nil {
		return 0, 0, errors.Wrap(err, "apply contract")
	}
	at := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, in := range r.testbed.Deployment().EntryInstances {
		group.Go(func() error { return r.waitVersion(ctx, in.ID, next.Version) })
	}
	if err := group.Wait(); err != nil {
		return 0, 0, err
	}
	return at.Sub(started), time.Since(at), nil
}

func (r *runner) waitVersion(ctx context.Context, id string, version uint64) error {
	client, err := r.testbed.Operator(id)
	if err != nil {
		return err
	}
	return testbed.WaitFor(ctx, changeTimeout, func() error {
		st, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if st.ConfigVersion < version {
			return errors.Errorf("entry instance %s is at version %d, not %d", id, st.ConfigVersion, version)
		}
		return nil
	})
}
