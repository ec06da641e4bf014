package bench

import (
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// slotsOf returns the total slots of each service.
func slotsOf(dep config.Deployment) map[string]int {
	slots := map[string]int{}
	for _, s := range dep.BackendServers {
		for _, name := range s.Services {
			slots[name] += s.Slots
		}
	}
	return slots
}

// streamsFor returns one stream per service, with the rate that keeps the fraction
// load of the service's slots busy on average.
func streamsFor(dep config.Deployment, contract config.Contract, load float64, meanTime time.Duration) []loadgen.Stream {
	slots := slotsOf(dep)
	var out []loadgen.Stream
	for _, svc := range contract.Services {
		if slots[svc.Name] == 0 {
			continue
		}
		out = append(out, loadgen.Stream{
			Service:    svc.Name,
			Rate:       load * float64(slots[svc.Name]) / meanTime.Seconds(),
			AtMostOnce: !svc.Idempotent,
			Timeout:    svc.Timeout.Std(),
		})
	}
	return out
}

// withIssuedKeys returns streams that use entry-issued keys for at-most-once
// services.
func withIssuedKeys(streams []loadgen.Stream) []loadgen.Stream {
	out := slices.Clone(streams)
	for i := range out {
		out[i].UseIssuedKeys = out[i].AtMostOnce
	}
	return out
}

func totalRate(streams []loadgen.Stream) float64 {
	sum := 0.0
	for _, s := range streams {
		sum += s.Rate
	}
	return sum
}

// streams returns the streams of the deployment at a load in percent.
func (r *runner) streams(percent int) []loadgen.Stream {
	mean := time.Duration(float64(r.opts.ServiceTime) * lognormalMeanFactor)
	return streamsFor(r.testbed.Deployment(), r.testbed.Contract(), float64(percent)/100, mean)
}
