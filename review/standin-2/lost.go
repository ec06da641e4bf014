package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Bounds of the deployment that the checks use.
const (
	drainBound   = 2500 * time.Millisecond
	configBound  = 2500 * time.Millisecond
	stableWindow = 4 * time.Second
)

// threeRegions are the machines of the site, allButOne those of them that are lost.
var (
	threeRegions = []machine{
		{"attiki-a", "attiki", "edge-attiki-a-1"}, {"makedonia-a", "makedonia", "edge-makedonia-a-1"}, {"kriti-a", "kriti", "edge-kriti-a-1"},
		{"attiki-b", "attiki", "edge-attiki-b-1"}, {"makedonia-b", "makedonia", "edge-makedonia-b-1"}, {"kriti-b", "kriti", "edge-kriti-b-1"},
		{"attiki-a", "attiki", "edge-attiki-a-2"}, {"attiki-b", "attiki", "edge-attiki-b-2"},
	}
	allButOne = []string{
		"edge-attiki-a-1", "edge-makedonia-a-1", "edge-kriti-a-1", "edge-makedonia-b-1", "edge-kriti-b-1", "edge-attiki-a-2", "edge-attiki-b-2",
	}
)

// oneRegion are as many machines in a single region, leaders the one that follows the
// store there, by its name, and its two standbys.
var (
	oneRegion = []machine{
		{"attiki-a", "attiki", "edge-attiki-a-1"}, {"attiki-a", "attiki", "edge-attiki-a-2"}, {"attiki-a", "attiki", "edge-attiki-a-3"}, {"attiki-a", "attiki", "edge-attiki-a-4"},
		{"attiki-b", "attiki", "edge-attiki-b-1"}, {"attiki-b", "attiki", "edge-attiki-b-2"}, {"attiki-b", "attiki", "edge-attiki-b-3"}, {"attiki-b", "attiki", "edge-attiki-b-4"},
	}
	leaders = []string{"edge-attiki-a-2", "edge-attiki-b-4", "edge-attiki-a-1"}
)

// lostMachines kills some machines at the same moment, and then lets a backend server
// leave and a route move to another service. Clients use one of those that are left.
func lostMachines(b *bed, trouble bool, machines []machine, victims []string, survivor string) (int, error) {
	const host, prefix = "jepu9.example", "/xapu221/"
	r := route{Name: "r-exd9dnn", Host: host, Prefix: prefix, Kind: "non_idempotent", Service: "wuno96b", Timeout: 6 * time.Second, Aim: 800 * time.Millisecond, Attempts: 2, Priority: 1}
	look := route{Name: "r-2b9wu3f", Host: host, Prefix: "/lepu270/", Kind: "idempotent", Service: "huvo11a", Timeout: 4 * time.Second, Aim: 600 * time.Millisecond, Attempts: 2, Priority: 2}
	services := []string{"wuno96b", "huvo11a", "kafi81c"}
	b.store.put("op", "config", desiredState(5, []route{r, look}, services))
	leaving := &backend{id: "i-7f3a91c2", service: "wuno96b", zone: "attiki-a", slots: 8, work: 300 * time.Millisecond}
	for _, s := range []*backend{
		leaving,
		{id: "i-02d9e6b4", service: "huvo11a", zone: "attiki-b", slots: 8, work: 100 * time.Millisecond},
		{id: "i-51c00e7d", service: "kafi81c", zone: "attiki-b", slots: 8, work: 100 * time.Millisecond},
	} {
		if err := b.backend(s); err != nil {
			return 2, err
		}
	}
	if err := b.start(machines); err != nil {
		return 2, err
	}
	if err := b.waitReady(15 * time.Second); err != nil {
		return 2, err
	}
	b.rec.say("all machines are ready")
	// Traffic starts 8 s after the machines; the stable window is shorter. The members of
	// a region choose its follower at the start, which counts for 10 s: afterwards, who
	// follows the store and who stands by depends on their names only.
	time.Sleep(15 * time.Second)
	var x *node
	var lost []*node
	for _, n := range b.nodes {
		switch {
		case n.name == survivor:
			x = n
		case slices.Contains(victims, n.name):
			lost = append(lost, n)
		}
	}
	if x == nil {
		return 2, fmt.Errorf("no machine %q", survivor)
	}
	if trouble {
		b.signal(syscall.SIGKILL, lost...)
		for _, n := range lost {
			<-n.ended
		}
		b.rec.say("%d of %d machines are lost; clients use %s", len(lost), len(b.nodes), x.name)
	}
	time.Sleep(200 * time.Millisecond)

	// The operator's change and the server's notice; the answers of the store confirm them.
	moved := look
	moved.Service = "kafi81c"
	ackConfig := b.store.put("op", "config", desiredState(7, []route{r, moved}, services))
	b.rec.addAt(ackConfig, "the store confirms desired state r7: %s goes to %s", moved.Prefix, moved.Service)
	fresh := &backend{id: "i-a92b70f5", service: "wuno96b", zone: "attiki-b", slots: 8, work: 300 * time.Millisecond}
	if err := b.backend(fresh); err != nil {
		return 2, err
	}
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	ackDrain := b.store.put("servers", leaving.id, leaving.entry("draining"))
	b.rec.addAt(ackDrain, "the store confirms that %s is draining", leaving.id)

	addr := x.ip + ":" + frontPort
	results := make(chan answered, 1000)
	sent := 0
	exits := ackDrain.Add(drainBound + time.Second) // drain and a little longer
	for end := ackDrain.Add(drainBound + 2*time.Second); time.Now().Before(end); {
		for _, q := range []struct{ method, path, body string }{{"POST", prefix + "ny95/2f", "coins"}, {"GET", look.Prefix + "2f", ""}} {
			sent++
			go func() { results <- sendOnce(b.rec, addr, host, q.method, q.path, q.body, 4*time.Second) }()
		}
		time.Sleep(50 * time.Millisecond)
		if !exits.IsZero() && time.Now().After(exits) {
			leaving.exit()
			exits = time.Time{}
		}
	}
	byID := map[string]answered{}
	for range sent {
		a := <-results
		byID[a.id] = a
	}
	late, stale, unanswered := 0, 0, 0
	var lastLate, lastStale time.Duration
	for _, y := range b.seen.all() {
		a := byID[y.id]
		if y.server == leaving.id && y.ran && y.at.Sub(ackDrain) > drainBound {
			late++
			lastLate = max(lastLate, y.at.Sub(ackDrain))
			if a.status != 200 {
				unanswered++
			}
		}
		if y.service == "huvo11a" && y.ran && a.sent.Sub(ackConfig) > configBound {
			stale++
			lastStale = max(lastStale, a.sent.Sub(ackConfig))
		}
	}
	b.rec.say("DRAIN: %d requests that must not be repeated reached %s later than %v after the store had confirmed that it leaves, the last %v after it; %d of them ran and were not answered", late, leaving.id, drainBound, lastLate.Round(time.Millisecond), unanswered)
	b.rec.say("CONFIG: %d requests sent later than %v after the confirmation of r7 were run by the old service, the last %v after it", stale, configBound, lastStale.Round(time.Millisecond))
	for _, line := range x.lines("following of the store changed") {
		b.rec.add("%s logs %s", x.name, line)
	}
	if late > 0 || stale > 0 {
		return 1, nil
	}
	ok := 0
	for _, a := range byID {
		if a.status == 200 {
			ok++
		}
	}
	if ok < sent/2 {
		return 2, fmt.Errorf("only %d of %d requests were served", ok, sent)
	}
	return 0, nil
}
