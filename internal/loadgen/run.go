package loadgen

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dandelionrack/dandelionrack/internal/wait"
)

// Stream sends requests to one service at a fixed rate.
type Stream struct {
	Service string  `json:"service"`
	Rate    float64 `json:"rate"` // requests per second over all callers
	// AtMostOnce sends a new idempotency key with each request.
	AtMostOnce bool `json:"at_most_once"`
	// UseIssuedKeys makes these keys entry-issued instead of caller-made.
	UseIssuedKeys bool          `json:"issued_keys"`
	Timeout       time.Duration `json:"timeout_ns"`
	BodySize      int           `json:"body_size"`
	Header        http.Header   `json:"header,omitempty"`
}

// Summary holds the figures of a run for one service. Latency is measured from
// the time at which a request was due, so that it includes waiting to be sent.
type Summary struct {
	Service  string         `json:"service"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons"`
	// Latency of answered requests in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`

	histogram *hdrhistogram.Histogram
}

// maxInFlight bounds the requests in flight of one run. A request that is due
// while the bound is reached is not sent and is counted as "client_limit".
const maxInFlight = 4000

// Run sends all streams for the duration d, to the callers in turn, and returns
// every result.
func Run(ctx context.Context, callers []*Caller, streams []Stream, d time.Duration) []Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var mu sync.Mutex
	var results []Result
	record := func(r Result) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for _, s := range streams {
		wg.Go(func() { s.run(ctx, callers, slots, record, &wg) })
	}
	wg.Wait()
	return results
}

func (s Stream) run(ctx context.Context, callers []*Caller, slots chan struct{}, record func(Result), wg *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) / s.Rate)
	due := time.Now()
	for i := 0; ; i++ {
		due = due.Add(interval)
		if wait.Sleep(ctx, time.Until(due)) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			record(Result{Service: s.Service, Outcome: OutcomeNotRun, Reason: "client_limit", SentAt: due})
			continue
		}
		caller, dueAt := callers[i%len(callers)], due
		wg.Go(func() {
			defer func() { <-slots }()
			// Requests in flight at the end of the run are completed.
			res := caller.Do(context.WithoutCancel(ctx), s.request(i))
			res.Latency = time.Since(dueAt)
			record(res)
		})
	}
}

func (s Stream) request(i int) Request {
	r := Request{Service: s.Service, Path: "/item/" + strconv.Itoa(i), Method: http.MethodGet, Timeout: s.Timeout, Header: s.Header}
	if s.AtMostOnce {
		r.Method = http.MethodPost
		r.UseIssuedKey = s.UseIssuedKeys
		if !s.UseIssuedKeys {
			r.Key = NewKey()
		}
	}
	if s.BodySize > 0 {
		r.Method = http.MethodPost
		r.Body = make([]byte, s.BodySize)
	}
	return r
}

// Summarize groups results by service.
func Summarize(results []Result) map[string]*Summary {
	out := map[string]*Summary{}
	for _, r := range results {
		s := out[r.Service]
		if s == nil {
			s = &Summary{
				Service:   r.Service,
				Outcomes:  map[string]int{},
				Reasons:   map[string]int{},
				histogram: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3),
			}
			out[r.Service] = s
		}
		s.add(r)
	}
	for _, s := range out {
		s.P50 = s.quantile(50)
		s.P99 = s.quantile(99)
		s.P999 = s.quantile(99.9)
		s.Max = float64(s.histogram.Max()) / 1000
	}
	return out
}

func (s *Summary) add(r Result) {
	s.Sent++
	s.Outcomes[r.Outcome]++
	if r.Reason != "" {
		s.Reasons[r.Reason]++
	}
	if r.Outcome == OutcomeAnswered || r.Outcome == OutcomeRecorded {
		_ = s.histogram.RecordValue(r.Latency.Microseconds())
	}
}

func (s *Summary) quantile(q float64) float64 {
	return float64(s.histogram.ValueAtQuantile(q)) / 1000
}
