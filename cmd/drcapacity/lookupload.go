package main

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

// sendLookups sends lookups at a fixed rate over persistent connections.
func sendLookups(ctx context.Context, url string, rate float64, d time.Duration) (done, failed int) {
	const maxInFlight = 64
	client := loadgen.NewHTTPClient()
	defer client.CloseIdleConnections()
	var ok, bad atomic.Int64
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; <-t.C {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if sendLookup(ctx, client, url) {
				ok.Add(1)
				return
			}
			bad.Add(1)
		})
	}
	wg.Wait()
	return int(ok.Load()), int(bad.Load())
}

func sendLookup(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+testbedToken)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
