package testbed

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Processes starts programs and terminates them, each by its process id. Its
// methods are safe for concurrent use.
type Processes struct {
	bin, dir string

	mu    sync.Mutex
	procs map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu     sync.Mutex
	paused bool
}

func (p *process) signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Program describes a process to start.
type Program struct {
	Name       string
	Executable string // file name in the directory of built programs
	Args       []string
	Env        []string // added to the environment
	// CPUShare is the share of a core that the process may use; 0 means no limit.
	CPUShare float64
}

// NewProcesses returns an empty set of processes. Programs are run from the
// directory bin; their output is appended to log files in dir.
func NewProcesses(bin, dir string) *Processes {
	return &Processes{bin: bin, dir: dir, procs: map[string]*process{}}
}

// Start starts a program. A previous process of the same name must have exited.
func (p *Processes) Start(prog Program) error {
	logFile, err := os.OpenFile(filepath.Join(p.dir, prog.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "log of %s", prog.Name)
	}
	cmd := exec.Command(filepath.Join(p.bin, prog.Executable), prog.Args...)
	cmd.Env = append(os.Environ(), prog.Env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The process must not outlive a test process that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return errors.Wrapf(err, "start %s", prog.Name)
	}
	proc := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		proc.err = cmd.Wait()
		_ = logFile.Close()
		close(proc.done)
	}()
	if prog.CPUShare > 0 && prog.CPUShare < 1 {
		go proc.limitShare(prog.CPUShare)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.procs[prog.Name] = proc
	return nil
}

func (p *Processes) process(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	proc, ok := p.procs[name]
	if !ok {
		return nil, errors.Errorf("no process %q was started", name)
	}
	return proc, nil
}

// PID returns the process id of a process.
func (p *Processes) PID(name string) (int, error) {
	proc, err := p.process(name)
	if err != nil {
		return 0, err
	}
	return proc.cmd.Process.Pid, nil
}

// Signal sends a signal to a process.
func (p *Processes) Signal(name string, sig syscall.Signal) error {
	return p.withProcess(name, func(proc *process) error { return proc.signal(sig) })
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (p *Processes) Kill(name string) error {
	if err := p.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	proc, err := p.process(name)
	if err != nil {
		return err
	}
	<-proc.done
	return nil
}

// Stop sends SIGTERM to a process, waits until it has exited and returns its
// exit error.
func (p *Processes) Stop(ctx context.Context, name string) error {
	if err := p.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	proc, err := p.process(name)
	if err != nil {
		return err
	}
	select {
	case <-proc.done:
		if proc.err != nil {
			return errors.Wrap(proc.err, name)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "stop of %s", name)
	}
}

// Running reports whether a process was started and has not exited.
func (p *Processes) Running(name string) bool {
	proc, err := p.process(name)
	if err != nil {
		return false
	}
	select {
	case <-proc.done:
		return false
	default:
		return true
	}
}

// Close kills all processes and waits until they have exited.
func (p *Processes) Close() {
	p.mu.Lock()
	procs := make([]*process, 0, len(p.procs))
	for _, proc := range p.procs {
		procs = append(procs, proc)
	}
	p.mu.Unlock()
	for _, proc := range procs {
		_ = proc.cmd.Process.Kill() // it may already have exited
	}
	for _, proc := range procs {
		<-proc.done
	}
}
