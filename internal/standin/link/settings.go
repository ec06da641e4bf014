package link

import "github.com/dandelionrack/dandelionrack/pkg/config"

// Settings configure one process that runs many links.
type Settings struct {
	Admin string         `json:"admin"` // host:port of the admin API
	Links []LinkSettings `json:"links"`
	// Groups have a capacity that their links share, each way.
	Groups []GroupSettings `json:"groups"`
}

// LinkSettings configure one link: connections to Listen go to Target.
type LinkSettings struct {
	Name   string          `json:"name"`
	Listen string          `json:"listen"`
	Target string          `json:"target"`
	Delay  config.Duration `json:"delay"` // one way
	// Group names the shared capacity. Without a group the link has its own
	// capacity, and a group of its own name.
	Group string `json:"group"`
	// Backward says that forward bytes use the reverse capacity of the group,
	// for links of both directions of dialing that share a group.
	Backward      bool  `json:"backward"`
	BitsPerSecond int64 `json:"bits_per_second"` // each way; 0 is no bound
}

// GroupSettings configure a shared capacity.
type GroupSettings struct {
	Name          string `json:"name"`
	BitsPerSecond int64  `json:"bits_per_second"` // each way; 0 is no bound
}

// DefaultSettings has no links.
func DefaultSettings() Settings { return Settings{Admin: "127.0.0.1:0"} }

// Freeze says which directions of a link are frozen.
type Freeze string

// Directions of a freeze. Forward is from the listener to the target.
const (
	FreezeNone    Freeze = "none"
	FreezeForward Freeze = "forward"
	FreezeReverse Freeze = "reverse"
	FreezeBoth    Freeze = "both"
)

// State is the behaviour of a link, changed by POST /admin/links. Keys that
// are absent from the body keep their value.
type State struct {
	Delay config.Duration `json:"delay"`
	// Cut closes the listener and resets the connections, so that new ones
	// are refused.
	Cut bool `json:"cut"`
	// Freeze stops bytes, and the ends of connections, in a direction. New
	// connections are still accepted, and hang.
	Freeze Freeze `json:"freeze"`
	// DropReverse loses the bytes from the target. When it ends, connections
	// that lost bytes are reset.
	DropReverse bool `json:"drop_reverse"`
	// CloseAfterForward and CloseAfterReverse reset, once, the connection that
	// carries the n-th byte from now on in that direction, after that byte.
	CloseAfterForward int64 `json:"close_after_forward"`
	CloseAfterReverse int64 `json:"close_after_reverse"`
	// Target, when set, replaces the configured one for new connections, as
	// when an address moves to another process. Open connections stay.
	Target string `json:"target,omitempty"`
}

func (s State) valid() bool {
	switch s.Freeze {
	case FreezeNone, FreezeForward, FreezeReverse, FreezeBoth:
	default:
		return false
	}
	return s.Delay >= 0 && s.CloseAfterForward >= 0 && s.CloseAfterReverse >= 0
}

// healed is the state without faults; the delay and the target stay.
func (s State) healed() State {
	return State{Delay: s.Delay, Freeze: FreezeNone, Target: s.Target}
}
