package entry

import (
	"context"
	"time"
)

const (
	// warmInterval is half the idle timeout of the connection pool.
	warmInterval = 15 * time.Second
	warmTimeout  = time.Second
)

// runWarm keeps as many connections open to each backend server as this instance
// has slots there, because opening one adds about 1 ms to a request.
func (e *Entry) runWarm(ctx context.Context) {
	repeat(ctx, e.serversChanged, func() time.Duration {
		if v := e.currentView(); v != nil {
			e.warmServers(ctx, v)
		}
		return warmInterval
	})
}

// repeat calls step at once, and again after the duration that step returned or when
// wake receives a value, until ctx ends.
func repeat(ctx context.Context, wake <-chan struct{}, step func() time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		timer.Reset(step())
	}
}

func (e *Entry) warmServers(ctx context.Context, v *configView) {
	for _, st := range e.serverStatus() {
		server, ok := v.servers[st.ID]
		if !ok || st.Leaving || st.Share == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, warmTimeout)
		err := e.backends.Warm(callCtx, server.ID, e.settings.dialAddr(server.Addr), st.Share)
		cancel()
		if err != nil {
			e.log.Debug("connections could not be opened in advance", "backend_server", server.ID, "error", err)
		}
	}
}
