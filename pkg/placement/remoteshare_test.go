package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rate of change that suits only one bound: a region that is full
// and then empty moves its objects within every bound, and uses most of it.
func TestRemoteShareFollowsTheBound(t *testing.T) {
	const window = 2 * time.Second
	for _, bound := range []float64{0.05, 0.075, 0.15, 0.3} {
		b := New("north")
		b.SetMaxShift(bound)
		s := newRemoteShare(epoch, 10, 10, 2)
		var shares []float64
		for now := epoch; now.Before(at(40 * time.Second)); now = now.Add(shareUpdateInterval) {
			local := utilization{load: 20, slots: 10}
			if now.After(at(20 * time.Second)) {
				local.load = 0
			}
			s.update(now, local, utilization{load: 1, slots: 10}, b.maxShift)
			shares = append(shares, s.share)
		}
		most := 0.0
		for i := int(window / shareUpdateInterval); i < len(shares); i++ {
			before := shares[i-int(window/shareUpdateInterval)]
			most = max(most, shares[i]-before, before-shares[i])
		}
		require.LessOrEqual(t, most+spillRatio*bound, bound, "bound %v", bound)
		require.Greater(t, most, bound/2, "bound %v", bound)
	}
}
