package testbed

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const pollInterval = 20 * time.Millisecond

// poll repeats check until it returns nil or ctx is done.
func poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "condition not reached in time")
		case <-time.After(pollInterval):
		}
	}
}

// WaitFor repeats check until it returns nil or d has elapsed.
func WaitFor(ctx context.Context, d time.Duration, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return poll(ctx, check)
}

func waitHTTP(ctx context.Context, url string) error {
	return WaitFor(ctx, startTimeout, func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
}

func waitTCP(ctx context.Context, addr string) error {
	return WaitFor(ctx, startTimeout, func() error {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}
