package placement

import (
	"slices"
	"time"
)

// QuotaUnknown is the ColdQuota of a server that is not cold by its registration.
const QuotaUnknown = -1

// defaultRegistrationInterval is used unless SetRegistrationInterval sets one: that
// of the known deployments.
const defaultRegistrationInterval = 1500 * time.Millisecond

// SetRegistrationInterval sets the interval at which servers renew their
// registrations, within which a server that has started registers.
func (b *Balancer) SetRegistrationInterval(d time.Duration) { b.registrationInterval = d }

// A server whose connections are refused, or closed at once several times in a row,
// may have ended and start again, cold, under its id. While its registration may still be that of the old
// process, it gets no more requests than a cold server.

// SuspectRestarts records that processes of servers may have ended, as reported by
// another entry instance.
func (b *Balancer) SuspectRestarts(now time.Time, ids []string) {
	for _, id := range ids {
		if s := b.servers[id]; s != nil && s.restartSuspectedAt.IsZero() && now.Sub(s.startConfirmedAt) >= startConfirmationTTL {
			s.restartSuspectedAt = now
			b.troubled[id] = s
		}
	}
}

// suspectRestart records a sign that this instance has seen itself.
func (b *Balancer) suspectRestart(now time.Time, s *server) {
	b.newSuspicion = b.newSuspicion || s.restartSuspectedAt.IsZero()
	s.restartSuspectedAt = now
	b.troubled[s.ID] = s
}

// TakeNewSuspicion reports whether this instance has seen a sign of a restart that
// was not known since the last call.
func (b *Balancer) TakeNewSuspicion() bool {
	was := b.newSuspicion
	b.newSuspicion = false
	return was
}

// startConfirmationTTL is how long after a confirmed start reports of others are
// ignored: they may be older than the confirmation, by up to two heartbeats (1 s).
const startConfirmationTTL = 2 * time.Second

// ConfirmRegistrations records that the known registrations were those in the store
// at a time. They name the process of each server that started a registration
// interval earlier or before.
func (b *Balancer) ConfirmRegistrations(at time.Time) {
	for _, s := range b.troubled {
		if !s.restartSuspectedAt.IsZero() && at.Sub(s.restartSuspectedAt) >= b.registrationInterval {
			s.restartSuspectedAt = time.Time{}
			s.startConfirmedAt = at
		}
	}
}

// UnknownStarts returns the servers whose processes may be other ones than those
// that registered, in id order.
func (b *Balancer) UnknownStarts() []string {
	var out []string
	for id, s := range b.troubled {
		if !s.restartSuspectedAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// limited reports whether the server gets only its quota of requests.
func (s *server) limited(now time.Time) bool {
	return now.Before(s.ColdUntil) || !s.restartSuspectedAt.IsZero()
}

// coldQuota returns the number of requests in each coldWindow while the server is
// limited. Until the quota is known, each instance of the server's region sends one.
func (b *Balancer) coldQuota(s *server) int {
	switch {
	case s.ColdQuota != QuotaUnknown:
		return s.ColdQuota
	case s.Region == b.region:
		return 1
	default:
		return 0
	}
}
