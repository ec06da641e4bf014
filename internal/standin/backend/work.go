package backend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// sampler draws service times. It is safe for concurrent use.
type sampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSampler(seed uint64) *sampler {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &sampler{rng: rand.New(rand.NewPCG(seed, seed))}
}

// draw returns a random service time of a warm server.
func (s *sampler) draw(w Work) time.Duration {
	base := w.ServiceTime.Std()
	if w.Distribution != Lognormal {
		return base
	}
	s.mu.Lock()
	normal := s.rng.NormFloat64()
	s.mu.Unlock()
	d := time.Duration(float64(base) * math.Exp(w.Sigma*normal))
	if w.MaxServiceTime > 0 {
		d = min(d, w.MaxServiceTime.Std())
	}
	return d
}

// coldFactor returns the service time multiplier at the given age of the cold
// phase.
func coldFactor(w Work, age time.Duration) float64 {
	if w.ColdFor <= 0 || w.ColdFactor <= 1 || age >= w.ColdFor.Std() {
		return 1
	}
	left := 1 - float64(age)/float64(w.ColdFor)
	return 1 + (w.ColdFactor-1)*left
}
