package lookup

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

func domains(n int) []config.FailureDomain {
	out := make([]config.FailureDomain, n)
	for i := range out {
		out[i] = config.FailureDomain{Name: fmt.Sprintf("d%d", i), Region: fmt.Sprintf("r%d", i/2)}
	}
	return out
}

// Guards against a lookup that returns the failure domain of a shorter prefix, for
// IPv4, IPv6 and IPv4-mapped addresses. Compares with a scan of all blocks.
func TestLocateLongestPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dep := &config.Deployment{FailureDomains: domains(5)}
		prefixes := map[netip.Prefix]string{}
		addr := func() netip.Addr {
			b := [4]byte(rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 128, 255}), 4, 4).Draw(rt, "address"))
			a := netip.AddrFrom4(b)
			if rapid.Bool().Draw(rt, "v6") {
				wide := [16]byte{0x20, 1}
				copy(wide[2:], b[:])
				a = netip.AddrFrom16(wide)
			}
			return a
		}
		for range rapid.IntRange(0, 20).Draw(rt, "blocks") {
			a := addr()
			p := netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(rt, "bits")).Masked()
			if _, dup := prefixes[p]; dup {
				continue
			}
			prefixes[p] = rapid.SampledFrom(dep.FailureDomains).Draw(rt, "domain").Name
			dep.ClientBlocks = append(dep.ClientBlocks, config.ClientBlock{Prefix: p.String(), FailureDomain: prefixes[p]})
		}
		table, err := Build(dep)
		require.NoError(rt, err)
		a := addr()
		want, bits := "", -1
		for p, domain := range prefixes {
			if p.Contains(a) && p.Bits() > bits {
				want, bits = domain, p.Bits()
			}
		}
		got, ok := table.Locate(a)
		require.Equal(rt, bits >= 0, ok)
		require.Equal(rt, want, got)
		mapped, _ := table.Locate(netip.AddrFrom16(a.As16()))
		require.Equal(rt, want, mapped)
	})
}

// Guards against an error that reports only the first invalid block.
func TestBuildReportsEveryBadBlock(t *testing.T) {
	_, err := Build(&config.Deployment{
		FailureDomains: domains(2),
		ClientBlocks: []config.ClientBlock{
			{Prefix: "10.0.0.0/33", FailureDomain: "d0"},
			{Prefix: "10.0.0.0/8", FailureDomain: "nowhere"},
			{Prefix: "10.0.0.0/8", FailureDomain: "d0"},
			{Prefix: "::ffff:10.1.2.3/104", FailureDomain: "d1"},
		},
	})
	require.ErrorContains(t, err, "client_blocks[0].prefix")
	require.ErrorContains(t, err, "client_blocks[1].failure_domain")
	require.ErrorContains(t, err, `client_blocks[3].prefix: 10.0.0.0/8 is already in failure domain "d0"`)
}

func rankDeployment() *config.Deployment {
	dep := &config.Deployment{FailureDomains: domains(6)}
	for i, name := range []string{"a", "b", "c", "d", "e", "f"} {
		for k := range 2 {
			dep.EntryInstances = append(dep.EntryInstances, config.EntryInstance{
				ID: fmt.Sprintf("%s%d", name, k), FailureDomain: fmt.Sprintf("d%d", i),
			})
		}
	}
	dep.Links = []config.Link{
		{A: "r0", B: "r1", OneWayDelay: config.Duration(50 * time.Millisecond)},
		{A: "r2", B: "r0", OneWayDelay: config.Duration(30 * time.Millisecond)},
	}
	return dep
}

func rank(origin string, states map[string]membership.State, client string) string {
	stateOf := func(entry string) membership.State {
		if s, ok := states[entry]; ok {
			return s
		}
		return membership.StateReady
	}
	out := ""
	for _, e := range Rank(rankDeployment(), origin, stateOf, "a0", netip.MustParseAddr(client)) {
		out += e.ID + " "
	}
	return out
}

// Guards against a ranking that puts a remote or unresponsive entry instance
// before a nearer one that is ready.
func TestRankOrder(t *testing.T) {
	order := rank("d0", nil, "10.0.0.1")
	var classes string
	for i := 0; i < len(order); i += 3 {
		classes += order[i : i+1]
	}
	require.Regexp(t, "^aabb[ef]{4}[cd]{4}$", classes)
	require.Equal(t, order, rank("", nil, "10.0.0.1"), "without an origin, the failure domain of self is used")

	states := map[string]membership.State{}
	for _, id := range []string{"b0", "b1", "c0", "c1", "d0", "d1", "e0", "e1", "f0"} {
		states[id] = membership.StateGone
	}
	states["f1"], states["a1"], states["a0"] = membership.StateLeaving, membership.StateSilent, membership.StateUnknown
	require.Equal(t, "a0 ", rank("d0", states, "10.0.0.1"), "self in state unknown counts as ready")
	states["a0"], states["b0"] = membership.StateLeaving, membership.StateNotReady
	require.Equal(t, "b0 ", rank("d0", states, "10.0.0.1"))
	states["b0"] = membership.StateSilent
	require.Len(t, rank("d0", states, "10.0.0.1"), 36, "all 12 entry instances are in the last tier")
}

// Guards against a ranking that puts the same entry instance first for all
// clients of a failure domain.
func TestRankSpreadsClients(t *testing.T) {
	first := map[string]int{}
	for i := range 1000 {
		client := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
		first[rank("d1", nil, client)[:2]]++
	}
	require.Len(t, first, 2)
	require.InDelta(t, 500, first["b0"], 100)
}

// blockAddr returns an address in the i-th /24 block. Dense blocks are adjacent;
// scattered ones are spread over the whole address space, which takes the most
// memory.
func blockAddr(i uint32, scattered bool) netip.Addr {
	const dense, odd = 1 << 16, 2_654_435_761
	n := dense + i
	if scattered {
		n = i * odd // distinct modulo 2^24, because the factor is odd
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n<<8|9)
	return netip.AddrFrom4(b)
}

func blocksDeployment(n int, scattered bool) *config.Deployment {
	dep := &config.Deployment{FailureDomains: domains(12)}
	for i := range n {
		dep.ClientBlocks = append(dep.ClientBlocks, config.ClientBlock{
			Prefix:        netip.PrefixFrom(blockAddr(uint32(i), scattered), 24).Masked().String(),
			FailureDomain: dep.FailureDomains[i*7%12].Name,
		})
	}
	return dep
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 36_000, 360_000} {
		for _, scattered := range []bool{false, true} {
			dep := blocksDeployment(n, scattered)
			name := fmt.Sprintf("blocks=%d/scattered=%t", n, scattered)
			b.Run("build/"+name, func(b *testing.B) { benchmarkBuild(b, dep) })
			b.Run("locate/"+name, func(b *testing.B) { benchmarkLocate(b, dep, scattered) })
		}
	}
}

func benchmarkBuild(b *testing.B, dep *config.Deployment) {
	before := heapBytes()
	var table *Table
	for b.Loop() {
		var err error
		table, err = Build(dep)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
	require.Equal(b, len(dep.ClientBlocks), table.Len())
}

func benchmarkLocate(b *testing.B, dep *config.Deployment, scattered bool) {
	table, err := Build(dep)
	require.NoError(b, err)
	i, n := uint32(0), uint32(len(dep.ClientBlocks))
	for b.Loop() {
		// The step is coprime to n, so every block is visited, out of order.
		i = (i + 7919*31) % n
		if _, ok := table.Locate(blockAddr(i, scattered)); !ok {
			b.Fatal("address not found")
		}
	}
}

// largeDeployment returns a deployment of the planned size: 12 failure domains in
// 4 regions, with 45 entry instances in each domain.
func largeDeployment() *config.Deployment {
	dep := &config.Deployment{}
	for d := range 12 {
		region, domain := fmt.Sprintf("r%d", d/3), fmt.Sprintf("d%02d", d)
		dep.FailureDomains = append(dep.FailureDomains, config.FailureDomain{Name: domain, Region: region})
		for i := range 45 {
			id := fmt.Sprintf("%s-%02d", domain, i)
			dep.EntryInstances = append(dep.EntryInstances, config.EntryInstance{ID: id, FailureDomain: domain})
		}
	}
	return dep
}

func allReady(string) membership.State { return membership.StateReady }

// Guards against a result that contains only entry instances of the client's own
// failure domain, and against the same few entry instances for all clients.
func TestTopIncludesOtherFailureDomains(t *testing.T) {
	const n = 12
	ranking := NewRanking(largeDeployment(), "d04", allReady, "d04-00")
	first := map[string]bool{}
	for i := range 200 {
		top := ranking.Top(netip.AddrFrom4([4]byte{10, 4, byte(i), 1}), n)
		require.Len(t, top, n)
		seen, domains := map[string]bool{}, map[string]bool{}
		for _, e := range top {
			seen[e.ID] = true
			domains[e.FailureDomain] = true
		}
		require.Len(t, seen, n)
		require.Equal(t, "d04", top[0].FailureDomain)
		require.Greater(t, len(domains), 2)
		first[top[0].ID] = true
	}
	require.Greater(t, len(first), 40)
}

func BenchmarkTop(b *testing.B) {
	dep, client := largeDeployment(), netip.MustParseAddr("10.4.0.1")
	b.Run("sorted_once", func(b *testing.B) {
		ranking := NewRanking(dep, "d04", allReady, "d04-00")
		for b.Loop() {
			ranking.Top(client, 12)
		}
	})
	b.Run("sorted_each_time", func(b *testing.B) {
		for b.Loop() {
			Rank(dep, "d04", allReady, "d04-00", client)
		}
	})
}

// Guards against a region as origin that ranks another region first.
func TestRankFromRegion(t *testing.T) {
	dep := rankDeployment()
	for _, region := range []string{"r0", "r1", "r2"} {
		ranking := NewRanking(dep, region, allReady, dep.EntryInstances[0].ID)
		first := ranking.Top(netip.MustParseAddr("10.0.0.1"), 1)[0]
		require.Equal(t, region, dep.RegionOf(first.FailureDomain))
	}
}
