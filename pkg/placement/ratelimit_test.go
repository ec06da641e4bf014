package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against instances whose requests to a limited server add up to more than 1.5
// times its limit, and 5, in some 4 s, at any number of instances, and against a
// server that gets too few requests to say that its need has ended.
func TestSharesOfALimitAddUp(t *testing.T) {
	const window, run, step = 4 * time.Second, 20 * time.Second, 10 * time.Millisecond
	for _, instances := range []int{1, 4, 22, 98, 300} {
		for _, limit := range []float64{0, 0.3, 1, 4.6, 50, 500} {
			t.Run(fmt.Sprintf("%d instances, %g a second", instances, limit), func(t *testing.T) {
				balancers := make([]*Balancer, instances)
				for rank := range balancers {
					balancers[rank] = New("north")
					balancers[rank].Update([]Server{{ID: "s1", Service: "svc", Region: "north", Slots: 1000,
						RateLimit: &RateLimit{PerSecond: limit, Share: ShareOfLimit(limit, rank, instances)}}})
				}
				offered := float64(instances) / step.Seconds()
				start := time.Unix(1000, 0)
				var sent []time.Duration
				most, first := 0, 0
				for at := time.Duration(0); at < run; at += step {
					for _, b := range balancers {
						now := start.Add(at)
						choice, refusal := b.Choose(now, Request{Service: "svc", Class: "c", UntilObjective: time.Minute, UntilDeadline: time.Minute, InitialServiceTime: time.Second})
						if refusal != nil {
							continue
						}
						b.Done(now, choice, Result{Outcome: Served})
						for sent = append(sent, at); at-sent[first] > window; first++ {
						}
						most = max(most, len(sent)-first)
					}
				}
				require.LessOrEqual(t, most, int(1.5*limit*window.Seconds()+5))
				require.GreaterOrEqual(t, float64(len(sent)), max(3, 0.8*run.Seconds()*min(limit, offered)))
			})
		}
	}
}
