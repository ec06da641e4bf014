package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

// CallEntry makes one attempt at the entry instance at addr, without lookup and
// without retry.
func (c *Caller) CallEntry(ctx context.Context, r Request, addr string) Result {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	res, sent, _ := c.send(ctx, r, entry.LookupEntry{Addr: addr})
	if !sent {
		res.Outcome = OutcomeNotRun
		res.Reason = "no_entry"
	}
	res.Attempts = 1
	res.SentAt = started
	res.Latency = time.Since(started)
	return res
}

// IssueKey requests an entry-issued key from the entry instance at addr.
func (c *Caller) IssueKey(ctx context.Context, service, addr string) (string, error) {
	target := "http://" + c.dialAddr(addr) + "/v1/keys?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return "", err
	}
	c.setIdentity(req)
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", errors.Errorf("issue a key: status %d", resp.StatusCode)
	}
	var answer entry.KeyResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", errors.Wrap(err, "issue a key")
	}
	return answer.Key, nil
}
