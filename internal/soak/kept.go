package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// Clients that keep using a connection: one in two opens it up to maxFirstDelay before
// the first request, one in two sends requests in parts, and one
// in two uses it until it ends.
const (
	maxFirstDelay  = 2400 * time.Millisecond // leaves time for the head within header_timeout
	maxPartPause   = 250 * time.Millisecond
	maxKeptCount   = 20 // requests on a connection that the client closes
	longPauseShare = 0.05
	maxLongPause   = 4 * time.Second
	// longClientTimeout exceeds the timeout of the routes, which then applies.
	longClientTimeout = 2 * time.Second
	// requestHead is about the length of the head of a request.
	requestHead = 200
	// keptRandom separates the random numbers of these clients from those of others.
	keptRandom = 1 << 32
)

// keptClient uses one connection at a time. It ignores responses that ask it to close
// the connection, and looks up addresses only after the connection has ended.
type keptClient struct{ *client }

func newKeptClient(e *environment, number int, seed uint64) keptClient {
	c := newClient(e, number, seed)
	c.random = rand.New(rand.NewPCG(seed, keptRandom+uint64(number)))
	return keptClient{c}
}

func (c keptClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.addrs) > 0 {
			firstDelay := time.Duration(c.random.IntN(2)) * c.upTo(maxFirstDelay)
			c.useConnection(ctx, c.addrs[c.random.IntN(len(c.addrs))], firstDelay)
		}
		_ = wait.Sleep(ctx, c.upTo(maxPause)) // the loop condition checks ctx
	}
}

func (c keptClient) upTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

// useConnection opens a connection and after firstDelay sends requests over it until it
// ends, or as many as drawn for it.
func (c keptClient) useConnection(ctx context.Context, addr string, firstDelay time.Duration) {
	dialCtx, cancel := context.WithTimeout(ctx, responseWait)
	conn, err := standin.Dial(dialCtx, addr)
	cancel()
	inst := c.env.instanceAt(addr)
	if err != nil || inst == nil {
		c.addrs = nil
		return
	}
	defer conn.Close()
	_ = wait.Sleep(ctx, firstDelay) // the loop condition checks ctx
	inParts, count := c.random.IntN(2) == 0, 0
	if c.random.IntN(2) == 0 {
		count = 1 + c.random.IntN(maxKeptCount)
	}
	for sent := 0; ctx.Err() == nil && (count == 0 || sent < count); sent++ {
		if err := conn.Idle(); err != nil {
			if errors.Is(err, standin.ErrUnasked) {
				c.env.checker.AddViolation(time.Now(), ResponseAuthentic, "kept client %d: %s sent a %v", c.number, inst.ID, err)
			}
			return
		}
		if _, ok := c.send(ctx, conn, inst, inParts); !ok {
			c.addrs = nil
			return
		}
		pause := maxPause
		if c.random.Float64() < longPauseShare {
			pause = maxLongPause
		}
		_ = wait.Sleep(ctx, c.upTo(pause)) // the loop condition checks ctx
	}
}

// send sends a request and returns the response, or false if none arrived.
func (c keptClient) send(ctx context.Context, conn *standin.Conn, inst *entryInstance, inParts bool) (standin.Response, bool) {
	s := c.newRequest("k", inst)
	c.lengthen(s)
	if c.random.IntN(2) == 0 {
		s.TimeLeft = longClientTimeout
	}
	var offsets []int
	if inParts {
		offsets = []int{1 + c.random.IntN(requestHead), 1 + c.random.IntN(requestHead), 1 + c.random.IntN(maxBodyPadding)}
	}
	c.env.checker.RequestSent(s)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseWait+longClientTimeout)
	defer cancel()
	response, err := conn.Send(ctx, s.Request, offsets, c.upTo(maxPartPause), func() { s.sentAt = time.Now() })
	if err != nil {
		c.env.checker.ResponseLost(time.Now(), s, err)
		return standin.Response{}, false
	}
	c.env.checker.ResponseReceived(time.Now(), s, response)
	return response, true
}

// slowFaultKinds lists the faults that let planned stops meet requests which last up
// to the timeout of their route.
var slowFaultKinds = []faultKind{
	{"a server is slow", (*environment).slowServer},
	{"a server is slow", (*environment).slowServer},
	{"stop an entry instance that clients hold connections to", (*environment).stopBusyInstance},
}

const (
	// heldConnections is the number of clients that open a connection to an entry
	// instance from holdLead before its planned stop until maxHold later, when its
	// listener is about to close: their lookup response is that old.
	heldConnections = 40
	holdLead        = 500 * time.Millisecond
	maxHold         = 3400 * time.Millisecond
	// slowWithStop is the number of servers that are slow during such a stop.
	slowWithStop = 6
)

// Planned stops without other faults, at the end of a run.
const (
	finalStops        = 3
	finalStopInterval = time.Second
	// finalSlowdown brings meanServiceTime to 0.8 s: more than half of the timeout of
	// the routes.
	finalSlowdown = 20
)

// stopInSeries stops some entry instances, one soon after the other, while all servers of
// a service are slow and there are no other faults: those excuse most lost responses.
func (e *environment) stopInSeries(ctx context.Context, o Options) {
	random := rand.New(rand.NewPCG(o.Seed, 4))
	first := random.IntN(1 << 20)
	var plan []plannedFault
	for i := range finalStops {
		plan = append(plan, plannedFault{
			at: time.Duration(i) * finalStopInterval, kind: slowFaultKinds[len(slowFaultKinds)-1], target: first + i, variant: random.IntN(1 << 20),
		})
	}
	e.slowService(serviceWrites, finalSlowdown)
	var running sync.WaitGroup
	e.inject(ctx, o, plan, &running)
	running.Wait()
	e.slowService(serviceWrites, 0)
}

// slowService sets the slowdown of all servers of a service.
func (e *environment) slowService(service string, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, srv := range e.servers {
		if srv.Service == service {
			srv.SetMode(standin.Mode{SlowdownFactor: factor})
		}
	}
}

// slowServer makes a server need up to the routes' timeout, and more. It is no fault
// for the checks: a slow server excuses no lost response.
func (e *environment) slowServer(ctx context.Context, f plannedFault) {
	srv := e.claimServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	srv.SetMode(standin.Mode{SlowdownFactor: float64(10 + f.variant%25)})
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	srv.SetMode(standin.Mode{})
}

// stopBusyInstance stops an entry instance to which clients open connections, while some servers are slow.
func (e *environment) stopBusyInstance(ctx context.Context, f plannedFault) {
	inst := e.instanceFor(f)
	var others sync.WaitGroup
	holdCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range heldConnections {
		c := newKeptClient(e, f.target*heldConnections+i, uint64(f.variant))
		others.Go(func() {
			_ = wait.Sleep(holdCtx, c.upTo(maxHold)) // useConnection checks the context
			c.useConnection(holdCtx, inst.ClientAddr, maxFirstDelay/2+c.upTo(maxFirstDelay/2))
		})
	}
	_ = wait.Sleep(ctx, holdLead) // stopInstance is not canceled with the run
	for i := range slowWithStop {
		slow := f
		slow.target, slow.variant, slow.duration = f.target+i, f.variant+i, e.checker.bounds.Grace
		others.Go(func() { e.slowServer(ctx, slow) })
	}
	e.stopInstance(ctx, f)
	cancel() // a connection that was opened late may be to the next process
	others.Wait()
}
