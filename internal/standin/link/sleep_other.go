//go:build !linux

package link

import "time"

// preciseSleep has the resolution of the Go timers on this system.
func preciseSleep(d time.Duration) { time.Sleep(d) }
