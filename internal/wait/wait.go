// Package wait sleeps until a time has passed or a context has ended.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
