package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

const (
	// Faults start at random intervals and have random durations, each between
	// the minimum and the minimum plus the spread. Several faults overlap, and
	// some last longer than the timeouts of the system (2.5 to 6.5 s).
	minInterval    = 100 * time.Millisecond
	intervalSpread = 1200 * time.Millisecond
	// minNoticeInterval is the minimum between two servers that announce something or
	// are slow: they stay so for longer than others.
	minNoticeInterval = time.Second
	minDuration       = 200 * time.Millisecond
	durationSpread    = 5 * time.Second
	// reregisterPeriod is the time over which expired registrations are restored.
	reregisterPeriod = 1500 * time.Millisecond
	// faultyServersDivisor limits the faulty servers to this fraction of all: one
	// in three.
	faultyServersDivisor = 3
)

// plannedFault is one fault of a run.
type plannedFault struct {
	at       time.Duration
	kind     faultKind
	target   int // index of the entry instance, server or domain, modulo their number
	variant  int // variant of the fault, modulo the number of variants
	duration time.Duration
}

// planFaults derives the faults of a run from its seed alone. Each group of kinds has
// its own random numbers, so that a new group leaves the faults of a seed as they were.
func planFaults(seed uint64, d time.Duration) []plannedFault {
	out := drawFaults(rand.New(rand.NewPCG(seed, 1)), d, faultKinds, minInterval)
	out = append(out, drawFaults(rand.New(rand.NewPCG(seed, 2)), d, noticeFaultKinds, minNoticeInterval)...)
	out = append(out, drawFaults(rand.New(rand.NewPCG(seed, 3)), d, slowFaultKinds, minNoticeInterval)...)
	out = append(out, drawFaults(rand.New(rand.NewPCG(seed, 5)), d, bodyFaultKinds, minNoticeInterval)...)
	slices.SortStableFunc(out, func(a, b plannedFault) int { return cmp.Compare(a.at, b.at) })
	return out
}

func drawFaults(random *rand.Rand, d time.Duration, kinds []faultKind, interval time.Duration) []plannedFault {
	var out []plannedFault
	for at := time.Duration(0); at < d; at += interval + time.Duration(random.Int64N(int64(intervalSpread))) {
		out = append(out, plannedFault{
			at: at, kind: kinds[random.IntN(len(kinds))], target: random.IntN(1 << 20), variant: random.IntN(1 << 20),
			duration: minDuration + time.Duration(random.Int64N(int64(durationSpread))),
		})
	}
	return out
}

// faultKind is a kind of fault. run returns after the fault has ended.
type faultKind struct {
	name string
	run  func(e *environment, ctx context.Context, f plannedFault)
}

// faultKinds lists all faults. Those listed twice are twice as frequent.
var faultKinds = []faultKind{
	{"kill an entry instance", (*environment).killInstance},
	{"stop an entry instance", (*environment).stopInstance},
	{"stop an entry instance", (*environment).stopInstance},
	{"freeze an entry instance", (*environment).freezeInstance},
	{"change settings", (*environment).reloadInstance},
	{"kill all entry instances", (*environment).killAllInstances},
	{"fault on the store link of an entry instance", (*environment).faultStoreLink},
	{"store fault", (*environment).faultStore},
	{"store discards its history", (*environment).compactStore},
	{"crash a server", (*environment).crashServer},
	{"replace a server", (*environment).replaceServer},
	{"replace a server", (*environment).replaceServer},
	{"server misbehaves", (*environment).misbehaveServer},
	{"server misbehaves", (*environment).misbehaveServer},
	{"link fault", (*environment).faultServerLink},
	{"link fault", (*environment).faultServerLink},
	{"evacuate", (*environment).evacuate},
	{"change the document", (*environment).changeDocument},
	{"change the document", (*environment).changeDocument},
}

func (e *environment) instanceFor(f plannedFault) *entryInstance {
	return e.instances[f.target%len(e.instances)]
}

// restart starts the process of an entry instance and waits until it is ready, or
// until startTimeout has passed.
func (e *environment) restart(ctx context.Context, inst *entryInstance) {
	if err := e.startInstance(inst); err != nil {
		e.checker.AddViolation(time.Now(), Recovery, "%s does not start: %v", inst.ID, err)
		return
	}
	// The instance may not become ready during a store fault. Readiness is checked
	// at the end of the run.
	_ = testbed.WaitFor(ctx, startTimeout, func() error { return e.checkReady(ctx, inst) })
	e.checker.SetDown(time.Now(), inst.ID, false)
}

func (e *environment) killInstance(ctx context.Context, f plannedFault) {
	e.kill(ctx, e.instanceFor(f), f.duration/2)
}

func (e *environment) kill(ctx context.Context, inst *entryInstance, down time.Duration) {
	inst.lifecycleMu.Lock()
	defer inst.lifecycleMu.Unlock()
	e.checker.RecordFault(time.Now(), "gate", inst.ID, true)
	defer func() { e.checker.RecordFault(time.Now(), "gate", inst.ID, false) }()
	_ = e.processes.Kill(inst.ID) // fails if it has exited by itself, which shows in other checks
	e.checker.SetDown(time.Now(), inst.ID, true)
	_ = wait.Sleep(ctx, down) // stops early if the run is canceled
	e.restart(context.WithoutCancel(ctx), inst)
}

func (e *environment) killAllInstances(ctx context.Context, f plannedFault) {
	done := make(chan struct{})
	for _, inst := range e.instances {
		go func() {
			defer func() { done <- struct{}{} }()
			e.kill(ctx, inst, f.duration/4)
		}()
	}
	for range e.instances {
		<-done
	}
}

// stopInstance stops an entry instance as in planned maintenance: with SIGTERM, and
// with SIGKILL after the grace period.
func (e *environment) stopInstance(ctx context.Context, f plannedFault) {
	inst := e.instanceFor(f)
	inst.lifecycleMu.Lock()
	defer inst.lifecycleMu.Unlock()
	ctx = context.WithoutCancel(ctx)
	began := time.Now()
	e.checker.RecordFault(began, "stop", inst.ID, true)
	defer func() { e.checker.RecordFault(time.Now(), "stop", inst.ID, false) }()
	stopCtx, cancel := context.WithTimeout(ctx, e.checker.bounds.Grace)
	defer cancel()
	if err := e.processes.Stop(stopCtx, inst.ID); err != nil {
		e.checker.StopFailed(time.Now(), inst.ID, began, err)
		_ = e.processes.Kill(inst.ID) // it may have exited in the meantime
	}
	e.checker.SetDown(time.Now(), inst.ID, true)
	e.restart(ctx, inst)
}

// freezeInstance suspends a process, which may be starting or stopping at the
// same time.
func (e *environment) freezeInstance(ctx context.Context, f plannedFault) {
	e.freeze(ctx, e.instanceFor(f), f.duration)
}

func (e *environment) freeze(ctx context.Context, inst *entryInstance, d time.Duration) {
	e.checker.RecordFault(time.Now(), "gate", inst.ID, true)
	defer func() { e.checker.RecordFault(time.Now(), "gate", inst.ID, false) }()
	_ = e.processes.Pause(inst.ID) // it may be down
	_ = wait.Sleep(ctx, d)         // stops early if the run is canceled
	_ = e.processes.Resume(inst.ID)
}

// reloadInstance changes the platform's settings file, with or without a signal.
func (e *environment) reloadInstance(_ context.Context, f plannedFault) {
	inst := e.instanceFor(f)
	inst.lifecycleMu.Lock()
	defer inst.lifecycleMu.Unlock()
	inst.MaxOpenFiles++
	if err := os.WriteFile(inst.settingsFile, standin.InstanceSettings(inst.InstanceConfig), 0o600); err != nil {
		e.checker.AddViolation(time.Now(), Recovery, "settings of %s: %v", inst.ID, err)
	}
	if f.variant%2 == 0 {
		_ = e.processes.Signal(inst.ID, syscall.SIGHUP) // it may be down
	}
}

func (e *environment) setLink(prefix string, change func(*link.State)) {
	_, err := e.links.SetState(prefix, func(state *link.State) error {
		change(state)
		return nil
	})
	if err != nil {
		e.checker.AddViolation(time.Now(), Recovery, "link %s: %v", prefix, err)
	}
}

// linkFault returns a link fault: freezing one direction or both, a cut, a delay,
// or a close in the middle of a response.
func linkFault(variant int) func(*link.State) {
	return func(state *link.State) {
		switch variant % 6 {
		case 0:
			state.Freeze = link.FreezeBoth
		case 1:
			state.Freeze = link.FreezeForward
		case 2:
			state.Freeze = link.FreezeReverse
		case 3:
			state.Cut = true
		case 4:
			state.Delay = config.Duration(time.Duration(variant%300) * time.Millisecond)
		default:
			state.CloseAfterReverse = int64(variant%20_000) + 1
		}
	}
}

func (e *environment) healLink(prefix string) {
	if _, err := e.links.Heal(prefix); err != nil {
		e.checker.AddViolation(time.Now(), Recovery, "link %s: %v", prefix, err)
	}
	e.setLink(prefix, func(state *link.State) { state.Delay = linkDelay })
}

func (e *environment) faultStoreLink(ctx context.Context, f plannedFault) {
	inst := e.instanceFor(f)
	e.checker.RecordFault(time.Now(), "gate", inst.ID, true)
	defer func() { e.checker.RecordFault(time.Now(), "gate", inst.ID, false) }()
	e.setLink(storeLink(inst), linkFault(f.variant))
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	e.healLink(storeLink(inst))
}

// faultStore injects a store fault for all entry instances. In some long faults
// the registrations expire, and those of running servers are restored afterwards.
func (e *environment) faultStore(ctx context.Context, f plannedFault) {
	if !e.storeFaultMu.TryLock() {
		return
	}
	defer e.storeFaultMu.Unlock()
	e.checker.RecordFault(time.Now(), "store", "", true)
	defer func() { e.checker.RecordFault(time.Now(), "store", "", false) }()
	faults := []standin.Fault{standin.Busy, standin.Reset, standin.Silent, standin.LoseReply}
	e.store.SetFault(faults[f.variant%len(faults)])
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	expire := f.variant%3 == 0 && f.duration > 3*time.Second
	if !expire {
		e.store.SetFault(standin.NoFault)
		return
	}
	e.mu.Lock()
	expired := append([]*server{}, e.servers...)
	for _, srv := range expired {
		e.store.Unregister(srv.ID)
	}
	e.mu.Unlock()
	e.store.SetFault(standin.NoFault)
	for _, srv := range expired {
		_ = wait.Sleep(ctx, reregisterPeriod/time.Duration(len(expired))) // stops early if the run is canceled
		e.mu.Lock()
		if srv.registered {
			e.store.Register(srv.registration)
		}
		e.mu.Unlock()
	}
}

func (e *environment) compactStore(context.Context, plannedFault) { e.store.Compact() }

func (e *environment) changeDocument(context.Context, plannedFault) { e.switchRoute() }

// reserveServer reserves a server for a fault. It returns nil if too many servers
// are faulty or the selected one is already.
func (e *environment) reserveServer(f plannedFault) *server {
	srv := e.claimServer(f)
	if srv != nil {
		e.checker.RecordFault(time.Now(), "server", srv.ID, true)
	}
	return srv
}

// claimServer is like reserveServer, but the server counts as sound in the checks.
func (e *environment) claimServer(f plannedFault) *server {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultyServers >= len(e.servers)/faultyServersDivisor {
		return nil
	}
	srv := e.servers[f.target%len(e.servers)]
	if srv.faulty {
		return nil
	}
	srv.faulty = true
	e.faultyServers++
	return srv
}

func (e *environment) releaseServer(srv *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	srv.faulty = false
	e.faultyServers--
	e.checker.RecordFault(time.Now(), "server", srv.ID, false)
}

// crashServer stops a server and restarts it cold under the same ID.
func (e *environment) crashServer(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	srv.Crash()
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	e.joinServer(srv)
}

// joinServer starts a stopped server, cold, and registers it.
func (e *environment) joinServer(srv *server) {
	if err := srv.Start(); err != nil {
		e.checker.AddViolation(time.Now(), Recovery, "%v", err)
		return
	}
	srv.SetCold(coldStart)
	e.checker.ServerRestarted(srv.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	srv.registration.StartTime, srv.registration.Draining = time.Now(), false
	srv.registered = true
	registration := srv.registration
	registration.ColdRemaining = coldStart
	e.store.Register(registration)
}

// replaceServer registers a new server and withdraws an old one, either by marking
// it as draining or by removing its registration. The old server keeps serving
// for some time.
func (e *environment) replaceServer(ctx context.Context, f plannedFault) {
	oldServer := e.reserveServer(f)
	if oldServer == nil {
		return
	}
	defer e.releaseServer(oldServer)
	e.mu.Lock()
	var replacement *server
	for i, srv := range e.spare {
		if srv.Service == oldServer.Service {
			replacement = srv
			e.spare = append(e.spare[:i:i], e.spare[i+1:]...)
			break
		}
	}
	e.mu.Unlock()
	if replacement == nil {
		return
	}
	replacement.Crash() // it was running only to keep its address reserved
	e.joinServer(replacement)
	// The old server works until its registration is removed at the end.
	e.checker.RecordFault(time.Now(), "server", oldServer.ID, false)
	e.mu.Lock()
	oldServer.registered = false
	oldServer.registration.Draining = true
	if f.variant%2 == 0 {
		e.store.Register(oldServer.registration)
	} else {
		e.store.Unregister(oldServer.ID)
	}
	now := time.Now()
	for i, srv := range e.servers {
		if srv == oldServer {
			e.servers[i] = replacement
		}
	}
	e.mu.Unlock()
	e.checker.ServerWithdrawn(now, oldServer.ID)
	_ = wait.Sleep(context.WithoutCancel(ctx), e.checker.bounds.Drain+f.duration) // not canceled with the run
	e.checker.RecordFault(time.Now(), "server", oldServer.ID, true)
	e.store.Unregister(oldServer.ID)
	e.mu.Lock()
	e.spare = append(e.spare, oldServer)
	e.mu.Unlock()
}

// misbehaveServer sets a faulty mode of a server for some time.
func (e *environment) misbehaveServer(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	modes := []standin.Mode{{SlowdownFactor: 6}, {AbortRate: 0.3}, {TruncateRate: 0.3}, {ResetIdle: true}, {ExtraResponseRate: 0.5}}
	srv.SetMode(modes[f.variant%len(modes)])
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	srv.SetMode(standin.Mode{})
}

func (e *environment) faultServerLink(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	e.setLink(srv.link, linkFault(f.variant))
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	e.healLink(srv.link)
}

// evacuate evacuates a failure domain and cancels the evacuation later. The servers
// of the domain are cold then.
func (e *environment) evacuate(ctx context.Context, f plannedFault) {
	if !e.evacuationMu.TryLock() {
		return
	}
	defer e.evacuationMu.Unlock()
	domain := domainNames[f.target%len(domainNames)]
	e.store.SetEvacuated(domain, true)
	e.checker.SetEvacuated(time.Now(), domain, true)
	_ = wait.Sleep(ctx, f.duration+evacuateBound) // stops early if the run is canceled
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checker.SetEvacuated(time.Now(), domain, false)
	for _, srv := range e.servers {
		if srv.domain == domain && srv.registered {
			srv.SetCold(coldStart)
			registration := srv.registration
			registration.ColdRemaining = coldStart
			e.store.Register(registration)
		}
	}
	e.store.SetEvacuated(domain, false)
}
