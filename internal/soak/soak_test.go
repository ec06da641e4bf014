package soak

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A short run, in which some faults last longer than the timeouts of the system.
const (
	shortFaults  = 8 * time.Second
	shortClients = 20
)

// Guards against violated invariants under overlapping faults. It runs a new seed
// and each seed that has ever failed.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for more than ten seconds per seed")
	}
	bin := buildGate(t)
	seeds := append(failedSeeds(t), uint64(time.Now().Unix()))
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			report, err := Run(t.Context(), Options{Bin: bin, Dir: dir, Seed: seed, FaultDuration: shortFaults, Clients: shortClients})
			requireNoViolation(t, report, err)
		})
	}
}

func buildGate(t *testing.T) (bin string) {
	bin = t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/drgate").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return bin
}

// Guards against requests that are read and not answered, or held and dropped, when
// entry instances with a small share of a core stop while clients pause between two
// requests on kept connections.
func TestPlannedRemoval(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 12 s")
	}
	report, err := RunRemoval(t.Context(), Options{
		Bin: buildGate(t), Dir: t.TempDir(), Seed: uint64(time.Now().Unix()), Layout: Layout{Instances: 12, CPUShares: []float64{0.3, 0.16}},
	}, Removal{AtOnce: 3, Interval: 1300 * time.Millisecond, ConnectionsPerInstance: 100, MaxPause: 4 * time.Second})
	requireNoViolation(t, report, err)
}

// Guards against an outdated routing document, or requests to a draining server, for as
// long as the instance is frozen that follows the store for all others, which have a
// small share of a core, in a deployment with half of the usual bounds.
func TestFrozenFollowerOfOnlyRegion(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 30 s")
	}
	report, err := RunFrozenFollower(t.Context(), Options{
		Bin: buildGate(t), Dir: t.TempDir(), Seed: uint64(time.Now().Unix()), Clients: 40,
		Layout: Layout{Instances: 11, OneRegion: true, CPUShares: []float64{0.16}},
	}, FrozenFollower{Rounds: 2, Frozen: 4 * time.Second, Lead: 300 * time.Millisecond, Bound: 1250 * time.Millisecond})
	requireNoViolation(t, report, err)
}

func requireNoViolation(t *testing.T, report Report, err error) {
	require.NoError(t, err)
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
}

// failedSeeds reads the seeds that have ever failed. Each line has a seed, followed
// by the failure and its cause.
func failedSeeds(t *testing.T) (seeds []uint64) {
	f, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		first, _, _ := strings.Cut(lines.Text(), " ")
		if first == "" || first == "#" {
			continue
		}
		seed, err := strconv.ParseUint(first, 10, 64)
		require.NoError(t, err)
		seeds = append(seeds, seed)
	}
	return seeds
}
