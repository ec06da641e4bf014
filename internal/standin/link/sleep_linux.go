package link

import (
	"syscall"
	"time"
)

// preciseSleep sleeps for a short time in the kernel. The timers of an idle Go
// process have a resolution of 1 ms, which more than doubled the round trip of
// a link with a one-way delay of 0.5 ms (2.2 ms instead of 1 ms). A signal to
// the thread, such as the preemption signal of the Go runtime, interrupts the
// sleep, so the caller must check the time.
func preciseSleep(d time.Duration) {
	ts := syscall.NsecToTimespec(int64(d))
	_ = syscall.Nanosleep(&ts, nil)
}
