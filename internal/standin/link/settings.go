package link

import "github.com/dandelionrack/dandelionrack/pkg/config"

// Settings configure one process that runs many links.
type Settings struct {
	Admin string         `json:"admin"` // host:port of the admin API
	Links []LinkSettings `json:"links"`
	// Groups are capacities that several links share, per direction.
	Groups []GroupSettings `json:"groups"`
}

// LinkSettings configure one link, which forwards connections from Listen to
// Target.
type LinkSettings struct {
	Name   string          `json:"name"`
	Listen string          `json:"listen"`
	Target string          `json:"target"`
	Delay  config.Duration `json:"delay"` // one way
	// Group is the name of the shared capacity. A link without a group has its
	// own capacity, as a group with the name of the link.
	Group string `json:"group"`
	// Backward makes forward bytes use the reverse capacity of the group, for
	// groups whose links are dialed from both sides.
	Backward      bool  `json:"backward"`
	BitsPerSecond int64 `json:"bits_per_second"` // per direction; 0 means no limit
}

// GroupSettings configure a shared capacity.
type GroupSettings struct {
	Name          string `json:"name"`
	BitsPerSecond int64  `json:"bits_per_second"` // per direction; 0 means no limit
}

// DefaultSettings returns settings without links.
func DefaultSettings() Settings { return Settings{Admin: "127.0.0.1:0"} }

// Freeze is the set of frozen directions of a link.
type Freeze string

// Frozen directions. Forward is from the listener to the target.
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
	// Cut closes the listener and resets all connections; new connections are
	// refused.
	Cut bool `json:"cut"`
	// Freeze holds back bytes and the ends of streams in a direction. New
	// connections are accepted but hang.
	Freeze Freeze `json:"freeze"`
	// DropReverse drops the bytes from the target. When it is turned off,
	// connections that lost bytes are reset.
	DropReverse bool `json:"drop_reverse"`
	// CloseAfterForward and CloseAfterReverse count down the bytes of all
	// connections in that direction. The connection that sends the last counted
	// byte is closed after it; 0 means off.
	CloseAfterForward int64 `json:"close_after_forward"`
	CloseAfterReverse int64 `json:"close_after_reverse"`
	// Target replaces the configured target for new connections if set, as when
	// an address moves to another process. Open connections are unaffected.
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

// withoutFaults returns a state with the same delay and target but no faults.
func (s State) withoutFaults() State {
	return State{Delay: s.Delay, Freeze: FreezeNone, Target: s.Target}
}
