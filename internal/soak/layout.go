package soak

// defaultInstances is the number of entry instances of a layout that sets none.
const defaultInstances = 8

// Layout describes the entry instances of a run. The zero value has 8 in two regions,
// each of which may use a whole core.
type Layout struct {
	Instances int  // spread over the failure domains
	OneRegion bool // all failure domains belong to one region
	// CPUShares are the shares of a core that entry instances may use, in turn.
	CPUShares []float64
}

func (l Layout) instances() int {
	if l.Instances == 0 {
		return defaultInstances
	}
	return l.Instances
}

// cpuShare returns the share of an entry instance; 0 for no limit.
func (l Layout) cpuShare(i int) float64 {
	if len(l.CPUShares) == 0 {
		return 0
	}
	return l.CPUShares[i%len(l.CPUShares)]
}

// domains returns the region of each failure domain.
func (l Layout) domains() map[string]string {
	if l.OneRegion {
		return map[string]string{"north-a": "north", "north-b": "north", "south-a": "north", "south-b": "north"}
	}
	return map[string]string{"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
}
