package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

// cmdBlockFile writes a file for "drctl blocks publish": the blocks of the
// deployment and n /24 blocks from 20.0.0.0, assigned to the failure domains
// round-robin. move= assigns one of these blocks to another target:
// blockfile FILE [n=5000] [move=PREFIX:TARGET]
func cmdBlockFile(s *scenario, ts *testscript.TestScript, a *arguments) error {
	file := ts.MkAbs(a.positional("file"))
	n := int(a.number("n", 5000))
	moved, newTarget, _ := strings.Cut(a.text("move", ""), ":")
	if err := a.done(); err != nil {
		return err
	}
	type block struct {
		Prefix string `json:"prefix"`
		Target string `json:"target"`
	}
	dep := s.testbed.Deployment()
	var out []block
	for _, b := range dep.ClientBlocks {
		out = append(out, block{b.Prefix, b.FailureDomain})
	}
	for i := range n {
		fd := dep.FailureDomains[i%len(dep.FailureDomains)]
		b := block{fmt.Sprintf("20.%d.%d.0/24", i>>8, i&255), fd.Name}
		if b.Prefix == moved {
			b.Target = newTarget
		}
		out = append(out, b)
	}
	data, err := json.Marshal(out)
	if err != nil {
		return err
	}
	return os.WriteFile(file, append([]byte("// client blocks\n"), data...), 0o600)
}

// cmdLocated requires that a lookup for a client address ranks an entry instance
// of a failure domain first: located ENTRY|all client=ADDRESS service=S domain=D
func cmdLocated(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.positional("entry instance")
	query := url.Values{"client": {a.text("client", "")}, "service": {a.text("service", "")}}
	domain := a.text("domain", "")
	if err := a.done(); err != nil {
		return err
	}
	for _, in := range s.testbed.Deployment().EntryInstances {
		if id != "all" && id != in.ID {
			continue
		}
		got, err := s.firstDomain(in, query)
		if err != nil {
			return err
		}
		if got != domain {
			return errors.Errorf("%s ranks %s first, want %s", in.ID, got, domain)
		}
	}
	return nil
}

// firstDomain returns the failure domain of the first entry in a lookup, which is
// sent to an entry instance directly, not through a link.
func (s *scenario) firstDomain(in config.EntryInstance, query url.Values) (string, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+in.CallerAddr+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+s.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer entry.LookupResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK || len(answer.Entries) == 0 {
		return "", errors.Errorf("%s: lookup has status %d and %d entries", in.ID, resp.StatusCode, len(answer.Entries))
	}
	return answer.Entries[0].FailureDomain, nil
}
