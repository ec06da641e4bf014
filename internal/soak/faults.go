package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

const (
	// stepLeast and stepSpread are the pause between two faults, and lastsLeast
	// and lastsSpread their length: several overlap, and some outlast the
	// waits of the system (2.5 to 6.5 s).
	stepLeast   = 100 * time.Millisecond
	stepSpread  = 1200 * time.Millisecond
	lastsLeast  = 200 * time.Millisecond
	lastsSpread = 5 * time.Second
	// rejoinWithin is the time in which registrations that lapsed return.
	rejoinWithin = 1500 * time.Millisecond
	// mostServers is the part of the servers that are disturbed at once.
	mostServers = 3
)

// step is one fault of a plan.
type step struct {
	at     time.Duration
	kind   kind
	target int // of the entry instances or servers, by modulus
	choice int // variant, by modulus
	lasts  time.Duration
}

// plan draws the faults of a run from its seed alone.
func plan(seed uint64, d time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []step
	for at := time.Duration(0); at < d; at += stepLeast + time.Duration(random.Int64N(int64(stepSpread))) {
		out = append(out, step{
			at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 20), choice: random.IntN(1 << 20),
			lasts: lastsLeast + time.Duration(random.Int64N(int64(lastsSpread))),
		})
	}
	return out
}

// kind is a kind of fault. It returns after the fault has ended.
type kind struct {
	name string
	run  func(b *bed, ctx context.Context, s step)
}

// kinds are the faults. Those that stand twice are twice as frequent.
var kinds = []kind{
	{"kill an entry instance", (*bed).killGate},
	{"stop an entry instance", (*bed).stopGate},
	{"stop an entry instance", (*bed).stopGate},
	{"freeze an entry instance", (*bed).freezeGate},
	{"change settings", (*bed).reloadGate},
	{"kill all entry instances", (*bed).killAll},
	{"cut an entry instance from the store", (*bed).cutStore},
	{"store fault", (*bed).faultStore},
	{"store forgets its history", (*bed).compactStore},
	{"crash a server", (*bed).crashServer},
	{"replace a server", (*bed).replaceServer},
	{"replace a server", (*bed).replaceServer},
	{"server misbehaves", (*bed).spoilServer},
	{"server misbehaves", (*bed).spoilServer},
	{"link fault", (*bed).faultLink},
	{"link fault", (*bed).faultLink},
	{"evacuate", (*bed).evacuate},
	{"change the document", (*bed).changeDocument},
	{"change the document", (*bed).changeDocument},
}

func (b *bed) gateOf(s step) *gate { return b.gates[s.target%len(b.gates)] }

// restart starts the process of an entry instance and waits until it is ready,
// or the store is away.
func (b *bed) restart(ctx context.Context, g *gate) {
	if err := b.startGate(g); err != nil {
		b.ledger.AddViolation(time.Now(), Recovery, "%s does not start: %v", g.ID, err)
		return
	}
	// Without the store it need not become ready; the end of the run checks.
	_ = testbed.Wait(ctx, startTimeout, func() error { return b.ready(ctx, g) })
	b.ledger.SetDown(time.Now(), g.ID, false)
}

func (b *bed) killGate(ctx context.Context, s step) { b.kill(ctx, b.gateOf(s), s.lasts/2) }

func (b *bed) kill(ctx context.Context, g *gate, down time.Duration) {
	g.lifecycle.Lock()
	defer g.lifecycle.Unlock()
	b.ledger.RecordFault(time.Now(), "gate", g.ID, true)
	defer func() { b.ledger.RecordFault(time.Now(), "gate", g.ID, false) }()
	_ = b.processes.Kill(g.ID) // it may have ended by itself, which shows as a failure
	b.ledger.SetDown(time.Now(), g.ID, true)
	_ = wait.Sleep(ctx, down) // an early end is fine
	b.restart(context.WithoutCancel(ctx), g)
}

func (b *bed) killAll(ctx context.Context, s step) {
	done := make(chan struct{})
	for _, g := range b.gates {
		go func() {
			defer func() { done <- struct{}{} }()
			b.kill(ctx, g, s.lasts/4)
		}()
	}
	for range b.gates {
		<-done
	}
}

// stopGate stops an entry instance as planned work does: SIGTERM, and SIGKILL
// after the grace.
func (b *bed) stopGate(ctx context.Context, s step) {
	g := b.gateOf(s)
	g.lifecycle.Lock()
	defer g.lifecycle.Unlock()
	ctx = context.WithoutCancel(ctx)
	began := time.Now()
	b.ledger.RecordFault(began, "stop", g.ID, true)
	defer func() { b.ledger.RecordFault(time.Now(), "stop", g.ID, false) }()
	stopCtx, cancel := context.WithTimeout(ctx, b.ledger.bounds.Grace)
	defer cancel()
	if err := b.processes.Stop(stopCtx, g.ID); err != nil {
		b.ledger.StopFailed(time.Now(), g.ID, began, err)
		_ = b.processes.Kill(g.ID) // it may have ended meanwhile
	}
	b.ledger.SetDown(time.Now(), g.ID, true)
	b.restart(ctx, g)
}

// freezeGate pauses a process, which may be stopping or starting meanwhile.
func (b *bed) freezeGate(ctx context.Context, s step) {
	g := b.gateOf(s)
	b.ledger.RecordFault(time.Now(), "gate", g.ID, true)
	defer func() { b.ledger.RecordFault(time.Now(), "gate", g.ID, false) }()
	_ = b.processes.Signal(g.ID, syscall.SIGSTOP) // it may be down
	_ = wait.Sleep(ctx, s.lasts)                  // an early end is fine
	_ = b.processes.Signal(g.ID, syscall.SIGCONT)
}

// reloadGate changes the platform's settings, with or without a signal.
func (b *bed) reloadGate(_ context.Context, s step) {
	g := b.gateOf(s)
	g.lifecycle.Lock()
	defer g.lifecycle.Unlock()
	g.MaxOpenFiles++
	if err := os.WriteFile(g.file, standin.NodeFile(g.InstanceConfig), 0o600); err != nil {
		b.ledger.AddViolation(time.Now(), Recovery, "settings of %s: %v", g.ID, err)
	}
	if s.choice%2 == 0 {
		_ = b.processes.Signal(g.ID, syscall.SIGHUP) // it may be down
	}
}

func (b *bed) setLink(prefix string, change func(*link.State)) {
	_, err := b.links.Set(prefix, func(s *link.State) error {
		change(s)
		return nil
	})
	if err != nil {
		b.ledger.AddViolation(time.Now(), Recovery, "link %s: %v", prefix, err)
	}
}

// linkFault returns one of the faults of a link: silence in one way or both, a cut, a
// delay, a reset in the middle of bytes.
func linkFault(choice int) func(*link.State) {
	return func(s *link.State) {
		switch choice % 6 {
		case 0:
			s.Freeze = link.FreezeBoth
		case 1:
			s.Freeze = link.FreezeForward
		case 2:
			s.Freeze = link.FreezeReverse
		case 3:
			s.Cut = true
		case 4:
			s.Delay = config.Duration(time.Duration(choice%300) * time.Millisecond)
		default:
			s.CloseAfterReverse = int64(choice%20_000) + 1
		}
	}
}

func (b *bed) healLink(prefix string) {
	if _, err := b.links.Heal(prefix); err != nil {
		b.ledger.AddViolation(time.Now(), Recovery, "link %s: %v", prefix, err)
	}
	b.setLink(prefix, func(s *link.State) { s.Delay = linkDelay })
}

func (b *bed) cutStore(ctx context.Context, s step) {
	g := b.gateOf(s)
	b.ledger.RecordFault(time.Now(), "gate", g.ID, true)
	defer func() { b.ledger.RecordFault(time.Now(), "gate", g.ID, false) }()
	b.setLink(storeLink(g), linkFault(s.choice))
	_ = wait.Sleep(ctx, s.lasts) // an early end is fine
	b.healLink(storeLink(g))
}

// faultStore disturbs the store for all. While it is away, registrations may
// lapse; those of live servers return.
func (b *bed) faultStore(ctx context.Context, s step) {
	if !b.storeFault.TryLock() {
		return
	}
	defer b.storeFault.Unlock()
	b.ledger.RecordFault(time.Now(), "store", "", true)
	defer func() { b.ledger.RecordFault(time.Now(), "store", "", false) }()
	faults := []standin.Fault{standin.Busy, standin.Reset, standin.Silent, standin.LoseReply}
	b.store.SetFault(faults[s.choice%len(faults)])
	_ = wait.Sleep(ctx, s.lasts) // an early end is fine
	lapse := s.choice%3 == 0 && s.lasts > 3*time.Second
	if !lapse {
		b.store.SetFault(standin.NoFault)
		return
	}
	b.mu.Lock()
	lapsed := append([]*server{}, b.servers...)
	for _, one := range lapsed {
		b.store.Unregister(one.ID)
	}
	b.mu.Unlock()
	b.store.SetFault(standin.NoFault)
	for _, one := range lapsed {
		_ = wait.Sleep(ctx, rejoinWithin/time.Duration(len(lapsed))) // an early end is fine
		b.mu.Lock()
		if one.registered {
			b.store.Register(one.entry)
		}
		b.mu.Unlock()
	}
}

func (b *bed) compactStore(context.Context, step) { b.store.Compact() }

func (b *bed) changeDocument(context.Context, step) { b.moveRoute() }

// take reserves a server for a fault, unless too many are disturbed.
func (b *bed) take(s step) *server {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.disturbed >= len(b.servers)/mostServers {
		return nil
	}
	one := b.servers[s.target%len(b.servers)]
	if one.disturbed {
		return nil
	}
	one.disturbed = true
	b.disturbed++
	b.ledger.RecordFault(time.Now(), "server", one.ID, true)
	return one
}

func (b *bed) give(one *server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one.disturbed = false
	b.disturbed--
	b.ledger.RecordFault(time.Now(), "server", one.ID, false)
}

// crashServer ends a server, which starts again under its id and cold.
func (b *bed) crashServer(ctx context.Context, s step) {
	one := b.take(s)
	if one == nil {
		return
	}
	defer b.give(one)
	one.Crash()
	_ = wait.Sleep(ctx, s.lasts) // an early end is fine
	b.join(one)
}

// join starts a server that is down, cold, and registers it.
func (b *bed) join(one *server) {
	if err := one.Start(); err != nil {
		b.ledger.AddViolation(time.Now(), Recovery, "%v", err)
		return
	}
	one.SetCold(coldStart)
	b.ledger.ServerRestarted(one.ID)
	b.mu.Lock()
	defer b.mu.Unlock()
	one.entry.StartTime, one.entry.Draining = time.Now(), false
	one.registered = true
	entry := one.entry
	entry.ColdRemaining = coldStart
	b.store.Register(entry)
}

// replaceServer lets a new server join and the old one leave: announced, or by
// the removal of its registration. It serves for some time after that.
func (b *bed) replaceServer(ctx context.Context, s step) {
	old := b.take(s)
	if old == nil {
		return
	}
	defer b.give(old)
	b.mu.Lock()
	var fresh *server
	for i, one := range b.spare {
		if one.Service == old.Service {
			fresh = one
			b.spare = append(b.spare[:i:i], b.spare[i+1:]...)
			break
		}
	}
	b.mu.Unlock()
	if fresh == nil {
		return
	}
	fresh.Crash() // it was kept running so that its address stays its own
	b.join(fresh)
	// The old server is sound until it ends.
	b.ledger.RecordFault(time.Now(), "server", old.ID, false)
	b.mu.Lock()
	old.registered = false
	old.entry.Draining = true
	if s.choice%2 == 0 {
		b.store.Register(old.entry)
	} else {
		b.store.Unregister(old.ID)
	}
	now := time.Now()
	for i, one := range b.servers {
		if one == old {
			b.servers[i] = fresh
		}
	}
	b.mu.Unlock()
	b.ledger.ServerWithdrawn(now, old.ID)
	_ = wait.Sleep(context.WithoutCancel(ctx), b.ledger.bounds.Drain+s.lasts) // it never ends early
	b.ledger.RecordFault(time.Now(), "server", old.ID, true)
	b.store.Unregister(old.ID)
	b.mu.Lock()
	b.spare = append(b.spare, old)
	b.mu.Unlock()
}

func (b *bed) spoilServer(ctx context.Context, s step) {
	one := b.take(s)
	if one == nil {
		return
	}
	defer b.give(one)
	modes := []standin.Mode{{SlowdownFactor: 6}, {AbortRate: 0.3}, {TruncateRate: 0.3}, {ResetIdle: true}, {ExtraResponseRate: 0.5}}
	one.SetMode(modes[s.choice%len(modes)])
	_ = wait.Sleep(ctx, s.lasts) // an early end is fine
	one.SetMode(standin.Mode{})
}

func (b *bed) faultLink(ctx context.Context, s step) {
	one := b.take(s)
	if one == nil {
		return
	}
	defer b.give(one)
	b.setLink(one.link, linkFault(s.choice))
	_ = wait.Sleep(ctx, s.lasts) // an early end is fine
	b.healLink(one.link)
}

// evacuate empties a failure domain and takes it back; its servers are cold
// then.
func (b *bed) evacuate(ctx context.Context, s step) {
	if !b.evacuation.TryLock() {
		return
	}
	defer b.evacuation.Unlock()
	domain := domainNames[s.target%len(domainNames)]
	b.store.SetEvacuated(domain, true)
	b.ledger.SetEvacuated(time.Now(), domain, true)
	_ = wait.Sleep(ctx, s.lasts+evacuateBound) // an early end is fine
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.SetEvacuated(time.Now(), domain, false)
	for _, one := range b.servers {
		if one.domain == domain && one.registered {
			one.SetCold(coldStart)
			entry := one.entry
			entry.ColdRemaining = coldStart
			b.store.Register(entry)
		}
	}
	b.store.SetEvacuated(domain, false)
}
