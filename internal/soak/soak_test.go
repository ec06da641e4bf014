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
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../../cmd/drgate")
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	seeds := append(failedSeeds(t), uint64(time.Now().Unix()))
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			report, err := Run(t.Context(), Options{Bin: bin, Dir: dir, Seed: seed, FaultDuration: shortFaults, Clients: shortClients})
			require.NoError(t, err)
			t.Log(report)
			for _, v := range report.Violations {
				t.Error(v)
			}
		})
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
