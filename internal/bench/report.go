package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Report holds the results of Run.
type Report struct {
	At                 time.Time           `json:"at"`
	CPUs               int                 `json:"cpus"`
	Go                 string              `json:"go"`
	Command            string              `json:"command"`
	ServiceTime        config.Duration     `json:"service_time"`
	LatencyServiceTime config.Duration     `json:"latency_service_time"`
	Warmup             config.Duration     `json:"warmup"`
	Duration           config.Duration     `json:"duration"`
	Deployments        []*DeploymentResult `json:"deployments"`
}

// DeploymentResult holds the measurements of one deployment.
type DeploymentResult struct {
	Deployment string          `json:"deployment"`
	Latency    *LatencyResult  `json:"latency,omitempty"`
	Loads      []LoadResult    `json:"loads,omitempty"`
	Drain      *DrainResult    `json:"drain,omitempty"`
	Changes    *ChangeResult   `json:"changes,omitempty"`
	Failover   *FailoverResult `json:"failover,omitempty"`
}

// LoadResult holds the measurements of one variant at one load.
type LoadResult struct {
	Variant string  `json:"variant"`
	Percent int     `json:"load_percent"`
	Rate    float64 `json:"requests_per_second"`
	// MachineLoad is the 1-minute load average before the run. A high value
	// means that the machine was busy with other work.
	MachineLoad float64 `json:"machine_load"`
	// StalledPercent is the share of requests that were sent while the machine
	// was stalled according to the probe.
	StalledPercent float64         `json:"stalled_percent"`
	Services       []ServiceResult `json:"services"`
	// Overruns counts requests that reached a backend server without a free
	// slot.
	Overruns           int64   `json:"overruns"`
	Connections        int64   `json:"connections"`
	StoreReads         float64 `json:"store_reads_per_second"`
	StoreCommits       float64 `json:"store_transactions_per_second"`
	StoreWrites        float64 `json:"store_rows_written_per_second"`
	LinkBytes          float64 `json:"link_bytes_per_second"`
	BusiestLink        string  `json:"busiest_link,omitempty"`
	BusiestLinkBytes   float64 `json:"busiest_link_bytes_per_second"`
	BusiestLinkPercent float64 `json:"busiest_link_percent"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// ServiceResult holds the figures of one service as its callers see them.
type ServiceResult struct {
	Service    string  `json:"service"`
	AtMostOnce bool    `json:"at_most_once"`
	Rate       float64 `json:"requests_per_second"`
	Sent       int     `json:"sent"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p999_ms"`
	// WithoutStalls leaves out the requests that were sent while the machine
	// was stalled.
	WithoutStalls Quantiles      `json:"calm"`
	AnswerRate    float64        `json:"answers_per_second"`
	Outcomes      map[string]int `json:"outcomes"`
	Reasons       map[string]int `json:"reasons,omitempty"`
	Slots         int            `json:"slots"`
	MeanFreeSlots float64        `json:"mean_free_slots"`
	MinFreeSlots  int            `json:"min_free_slots"`
}

// AnswerRate returns the answers per second of all services.
func (l LoadResult) AnswerRate() float64 {
	sum := 0.0
	for _, s := range l.Services {
		sum += s.AnswerRate
	}
	return sum
}

// LatencyResult compares the system with direct calls inside one failure
// domain, without link delays.
type LatencyResult struct {
	FailureDomain string         `json:"failure_domain"`
	Direct        LoadResult     `json:"direct"`
	System        LoadResult     `json:"system"`
	Added         []AddedLatency `json:"added"`
	// SystemWithIssuedKeys is the system with entry-issued keys.
	SystemWithIssuedKeys LoadResult     `json:"system_issued_keys"`
	AddedWithIssuedKeys  []AddedLatency `json:"added_issued_keys"`
}

// AddedLatency is, per quantile, the latency of the system minus that of direct
// calls.
type AddedLatency struct {
	Service string  `json:"service"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// DrainResult holds the measurements of a drain under load.
type DrainResult struct {
	Server     string          `json:"server"`
	Percent    int             `json:"load_percent"`
	TimeToIdle config.Duration `json:"took"` // until every entry instance reports the server idle
	// LastRunStart is the time from the start of the drain to the start of the
	// last run.
	LastRunStart config.Duration `json:"last_start"`
	// LongestRun is the duration of the longest run that was in flight at the
	// start of the drain or began later.
	LongestRun       config.Duration `json:"longest_run"`
	Limit            config.Duration `json:"limit"` // LongestRun plus drainStartLimit
	RunsNotCompleted int             `json:"runs_not_completed"`
}

// ChangeResult holds the times until changes were accepted, and from then until
// they were in force at every entry instance.
type ChangeResult struct {
	Changes    int             `json:"changes"`
	Percent    int             `json:"load_percent"`
	AcceptP50  config.Duration `json:"accept_p50"` // from submission to acceptance
	AcceptMax  config.Duration `json:"accept_max"`
	InForceP50 config.Duration `json:"in_force_p50"`
	InForceMax config.Duration `json:"in_force_max"`
}

// FailoverResult holds the measurements after the kill of one entry instance
// under load.
type FailoverResult struct {
	Entry   string `json:"entry"`
	Percent int    `json:"load_percent"`
	// TimeToFirstAnswer is the time from the kill to the first answer to a
	// request that a caller of the same failure domain sent after the kill.
	TimeToFirstAnswer config.Duration `json:"served_after"`
	// SlowestAnswer is the longest latency of an answer to these callers for
	// requests in flight at the kill or sent in the 5 s after it.
	SlowestAnswer config.Duration `json:"slowest_after"`
	// Idempotent and AtMostOnce count the requests that were in flight at the
	// kill or sent in the 5 s after it, by outcome and reason.
	Idempotent map[string]int `json:"idempotent"`
	AtMostOnce map[string]int `json:"at_most_once"`
	Overruns   int64          `json:"overruns"`
}

func newReport(opts Options) *Report {
	return &Report{
		At:                 time.Now().UTC().Truncate(time.Second),
		CPUs:               runtime.NumCPU(),
		Go:                 runtime.Version(),
		Command:            "drbench " + strings.Join(os.Args[1:], " "),
		ServiceTime:        config.Duration(opts.ServiceTime),
		LatencyServiceTime: config.Duration(opts.LatencyServiceTime),
		Warmup:             config.Duration(opts.Warmup),
		Duration:           config.Duration(opts.Duration),
	}
}

// WriteJSON writes the report to a file. It creates the file's folder if needed.
func (r *Report) WriteJSON(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "folder of the report")
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	return nil
}
