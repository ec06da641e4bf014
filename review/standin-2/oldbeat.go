package main

import (
	"fmt"
	"sync"
	"time"
)

// oldBeat lets the store perform one write of a backend server late, which is the dose
// of platform_lost (how late) for a single write. The server leaves in the meantime.
func oldBeat(b *bed, trouble bool) (int, error) {
	const host, prefix = "jepu9.example", "/xapu221/"
	const interval = 1500 * time.Millisecond // heartbeat of the settings
	const lostFor, lateBy = 4500 * time.Millisecond, 6 * time.Second
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

	// From here on, the store is impaired for lostFor. One of the server's writes, shortly
	// before the end, is not answered and is performed lateBy later.
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	beat := func(state string) { b.store.beat(leaving.id, leaving.entry(state)) }
	for _, d := range []time.Duration{0, interval} {
		at(d)
		beat("ready")
	}
	at(2 * interval)
	beat("ready")
	at(lostFor - 100*time.Millisecond)
	old := leaving.entry("ready")
	if trouble {
		b.rec.add("%s writes that it is ready, seq %v; the store loses the answer and performs the write %v later", leaving.id, old["seq"], lateBy)
		time.AfterFunc(lateBy, func() {
			b.store.beat(leaving.id, old)
			b.rec.say("the store performs the late write of %s: ready, seq %v", leaving.id, old["seq"])
		})
	} else {
		b.store.beat(leaving.id, old)
	}
	at(lostFor + interval)
	beat("ready")
	at(lostFor + 2*interval)
	beat("ready")

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
	at(lostFor + stableWindow + 50*time.Millisecond)
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	entry := leaving.entry("draining")
	ack := b.store.beat(leaving.id, entry)
	b.rec.say("the store confirms that %s is draining, seq %v, %v after the end of its impairment", leaving.id, entry["seq"], ack.Sub(start.Add(lostFor)).Round(time.Millisecond))
	time.Sleep(time.Until(ack.Add(interval)))
	beat("draining")
	// It goes on serving for drain after the confirmation and a little longer.
	time.Sleep(time.Until(ack.Add(drainBound + 450*time.Millisecond)))
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
	for _, y := range b.seen.all() {
		if y.server == leaving.id && y.ran && y.at.Sub(ack) > drainBound {
			late++
			if byID[y.id].status != 200 {
				unanswered++
			}
		}
	}
	b.rec.say("DRAIN: %d requests that must not be repeated reached %s later than %v after the store had confirmed that it leaves; %d of them ran and were not answered", late, leaving.id, drainBound, unanswered)
	if late > 0 {
		return 1, nil
	}
	if served < sent/2 {
		return 2, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return 0, nil
}
