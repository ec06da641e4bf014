package testbed

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// sharePeriod is the period in which a process gets its share of a core.
const sharePeriod = 100 * time.Millisecond

func (p *process) pause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	return p.signal(syscall.SIGSTOP)
}

func (p *process) resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
	return p.signal(syscall.SIGCONT)
}

// limitShare lets the process run for a share of each sharePeriod until it
// exits. Unlike a quota of the kernel it also counts the time in which the process
// has nothing to do.
func (p *process) limitShare(share float64) {
	running := time.Duration(share * float64(sharePeriod))
	sleep := func(d time.Duration) bool {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-p.done:
			return false
		case <-timer.C:
			return true
		}
	}
	if !sleep(time.Duration(rand.Int64N(int64(sharePeriod)))) { // not all processes at once
		return
	}
	for {
		p.mu.Lock()
		_ = p.signal(syscall.SIGSTOP) // fails if the process has exited, which ends the loop
		p.mu.Unlock()
		if !sleep(sharePeriod - running) {
			return
		}
		p.mu.Lock()
		if !p.paused {
			_ = p.signal(syscall.SIGCONT)
		}
		p.mu.Unlock()
		if !sleep(running) {
			return
		}
	}
}

// Pause suspends a process until Resume.
func (p *Processes) Pause(name string) error { return p.withProcess(name, (*process).pause) }

// Resume ends a pause.
func (p *Processes) Resume(name string) error { return p.withProcess(name, (*process).resume) }

func (p *Processes) withProcess(name string, do func(*process) error) error {
	proc, err := p.process(name)
	if err != nil {
		return err
	}
	if err := do(proc); err != nil {
		return errors.Wrapf(err, "signal %s", name)
	}
	return nil
}
