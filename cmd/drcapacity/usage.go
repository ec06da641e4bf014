package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// selfCPU returns the user and system CPU time of this process.
func selfCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the size of the heap after garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processUsage holds the kernel's counters for one process.
type processUsage struct {
	cpu          time.Duration
	resident     float64 // bytes now
	residentPeak float64 // bytes
	ioBytes      float64 // read and written, sockets included
	ioCalls      float64 // read and write system calls
}

func readUsage(pid int) (processUsage, error) {
	var u processUsage
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	fields, err := statFields(dir)
	if err != nil {
		return u, err
	}
	const userTime, systemTime = 11, 12 // after the name
	for _, i := range []int{userTime, systemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return u, errors.Wrap(err, "CPU time")
		}
		u.cpu += time.Duration(ticks) * clockTick
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, errors.Wrap(err, "memory")
	}
	u.resident = statusBytes(status, "VmRSS:")
	u.residentPeak = statusBytes(status, "VmHWM:")
	transfers, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return u, errors.Wrap(err, "transfers")
	}
	u.ioBytes = numberAfter(transfers, "rchar:") + numberAfter(transfers, "wchar:")
	u.ioCalls = numberAfter(transfers, "syscr:") + numberAfter(transfers, "syscw:")
	return u, nil
}

// statFields returns the fields of /proc/<pid>/stat after the process name, which
// may contain spaces.
func statFields(dir string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return nil, errors.Wrap(err, "process")
	}
	end := bytes.LastIndexByte(data, ')')
	fields := strings.Fields(string(data[end+1:]))
	const fieldsNeeded = 13
	if len(fields) < fieldsNeeded {
		return nil, errors.Errorf("%s/stat has %d fields after the name, want at least %d", dir, len(fields), fieldsNeeded)
	}
	return fields, nil
}

func statusBytes(status []byte, name string) float64 {
	const kib = 1024
	return kib * numberAfter(status, name)
}

// numberAfter returns the number on the line that starts with name, or 0.
func numberAfter(text []byte, name string) float64 {
	for line := range strings.Lines(string(text)) {
		var n float64
		if rest, ok := strings.CutPrefix(line, name); ok {
			if _, err := fmt.Sscan(rest, &n); err == nil {
				return n
			}
		}
	}
	return 0
}

// childProcesses returns the ids of the child processes with this name.
func childProcesses(name string) ([]int, error) {
	dirs, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		return nil, err
	}
	var out []int
	for _, dir := range dirs {
		comm, err := os.ReadFile(filepath.Join(dir, "comm"))
		if err != nil || strings.TrimSpace(string(comm)) != name {
			continue
		}
		fields, err := statFields(dir)
		if err != nil || fields[1] != strconv.Itoa(os.Getpid()) {
			continue
		}
		pid, err := strconv.Atoi(filepath.Base(dir))
		if err != nil {
			return nil, err
		}
		out = append(out, pid)
	}
	return out, nil
}
