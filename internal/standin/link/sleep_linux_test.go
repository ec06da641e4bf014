package link

import (
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that a link delivers early: the preemption signals of the
// Go runtime interrupt the sleep in the kernel.
func TestSleepContinuesAfterSignals(t *testing.T) {
	p := &proxiedConn{done: make(chan struct{})}
	threads := make(chan int)
	early := make(chan time.Duration)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		threads <- syscall.Gettid()
		due := time.Now().Add(20 * time.Millisecond)
		p.sleepUntil(due)
		early <- time.Until(due)
	}()
	thread := <-threads
	for {
		select {
		case left := <-early:
			require.LessOrEqual(t, left, time.Duration(0))
			return
		default:
			require.NoError(t, syscall.Tgkill(os.Getpid(), thread, syscall.SIGURG))
			time.Sleep(100 * time.Microsecond)
		}
	}
}
