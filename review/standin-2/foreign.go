package main

import (
	"fmt"
	"sync"
	"time"
)

// foreignEntry lets a backend server leave whose entry is removed, and then lets another
// writer put an entry that lacks a field under the server's id.
func foreignEntry(b *bed, trouble bool, lacks string) (int, error) {
	const host, prefix = "jepu9.example", "/xapu221/"
	r := route{Name: "r-exd9dnn", Host: host, Prefix: prefix, Kind: "non_idempotent", Service: "wuno96b", Timeout: 6 * time.Second, Aim: 800 * time.Millisecond, Attempts: 2, Priority: 1}
	b.store.put("op", "config", desiredState(5, []route{r}, []string{"wuno96b"}))
	leaving := &backend{id: "i-a92b70f5", service: "wuno96b", zone: "attiki-a", slots: 16, work: 300 * time.Millisecond}
	stays := &backend{id: "i-7f3a91c2", service: "wuno96b", zone: "attiki-b", slots: 16, work: 300 * time.Millisecond}
	for _, s := range []*backend{leaving, stays} {
		if err := b.backend(s); err != nil {
			return 2, err
		}
	}
	if err := b.start([]machine{{"attiki-a", "attiki", "edge-attiki-a-1"}, {"attiki-b", "attiki", "edge-attiki-b-1"}, {"makedonia-a", "makedonia", "edge-makedonia-a-1"}}); err != nil {
		return 2, err
	}
	if err := b.waitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines

	results := make(chan answered, 2000)
	sent := 0
	var sending sync.WaitGroup
	stop := make(chan struct{})
	sending.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			addr := b.nodes[sent%2].ip + ":" + frontPort
			sent++
			go func() { results <- sendOnce(b.rec, addr, host, "POST", prefix+"ny95/2f", "coins", 6*time.Second) }()
		}
	})
	time.Sleep(time.Second)
	entry := leaving.entry("ready")
	ack := b.store.remove("servers", leaving.id)
	b.rec.say("the store confirms that the entry of %s is removed", leaving.id)
	at := func(d time.Duration) { time.Sleep(time.Until(ack.Add(d))) }
	if trouble {
		at(500 * time.Millisecond)
		delete(entry, lacks)
		b.store.put("servers", leaving.id, entry)
		b.rec.say("another writer puts an entry of %s without %q: %v", leaving.id, lacks, entry)
	}
	// The server goes on for drain after the confirmation and a little longer.
	at(drainBound + 2*time.Second)
	leaving.exit()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	sending.Wait()
	byID := map[string]answered{}
	served := 0
	for range sent {
		a := <-results
		byID[a.id] = a
		if a.status == 200 {
			served++
		}
	}
	late, unanswered := 0, 0
	var last time.Duration
	for _, y := range b.seen.all() {
		if y.server == leaving.id && y.ran && y.at.Sub(ack) > drainBound {
			late++
			last = max(last, y.at.Sub(ack))
			if byID[y.id].status != 200 {
				unanswered++
			}
		}
	}
	b.rec.say("DRAIN: %d requests that must not be repeated reached %s later than %v after the store had confirmed that it is gone, the last %v after it; %d of them ran and were not answered", late, leaving.id, drainBound, last.Round(time.Millisecond), unanswered)
	if late > 0 {
		return 1, nil
	}
	if served < sent/2 {
		return 2, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return 0, nil
}
