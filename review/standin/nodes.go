package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Node is one machine of class "edge" with its process.
type Node struct {
	Name, IP, Zone, Region string

	bed    *Bed
	link   *Link // to the store
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Addr returns the address of one of the listeners.
func (n *Node) Addr(name string) string { return fmt.Sprintf("%s:%d", n.IP, n.bed.Ports[name]) }

// settings returns the platform's settings file, as DEPLOY.md shows it.
func (n *Node) settings(bootstrap bool) ([]byte, error) {
	var seeds []string
	for _, m := range n.bed.Nodes[:min(3, len(n.bed.Nodes))] {
		seeds = append(seeds, m.Addr("control"))
	}
	return json.MarshalIndent(map[string]any{
		"node_name": n.Name, "role": "gate", "machine_class": "edge", "serves": []string{"edge", "directory", "control_plane"},
		"ip": n.IP, "zone": n.Zone, "region": n.Region, "zones": n.bed.Zones,
		"listen":         map[string]string{"front": n.Addr("front"), "ready": n.Addr("ready"), "control": n.Addr("control"), "directory": n.Addr("directory")},
		"internal_ports": []int{7540, 7555}, "seeds": seeds, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat": "1500ms",
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds":          bounds,
		"provider": map[string]any{
			"address": n.link.Addr, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx": "6ms", "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history": "20s", "blob_bytes": 8388608, "blob": "25ms", "blob_mb_s": 80.0,
		},
	}, "", "  ")
}

// Start runs the command of the deploy file in the root of the repository.
func (n *Node) Start(bootstrap bool) error {
	settings, err := n.settings(bootstrap)
	if err != nil {
		return err
	}
	file := filepath.Join(n.bed.Dir, n.Name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.bed.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/drgate", "--settings", "deploy/gate.json")
	cmd.Dir = n.bed.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.bed.Dir, "DANDELIONRACK_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status is not judged
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // it may have ended
	}
}

// Exited is closed when the process has ended; nil if none was started.
func (n *Node) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// Ready asks the readiness check once.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.Addr("ready") + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the machine is ready.
func (n *Node) AwaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.Ready() {
			return true
		}
	}
	return false
}
