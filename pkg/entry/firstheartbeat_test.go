package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/standin/link"
)

// Guards against a request that is refused because the only entry instance that can
// run it is not known yet: without a predecessor an instance is ready before it has
// heard from its peers.
func TestRequestBeforeFirstHeartbeat(t *testing.T) {
	b := newTestBed(t)
	b.deployment.Links[0].BitsPerSecond = 1e9
	settings := link.DefaultSettings()
	for _, in := range b.deployment.EntryInstances {
		settings.Links = append(settings.Links, link.LinkSettings{Name: in.ID, Listen: "127.0.0.1:0", Target: in.PeerAddr})
	}
	links, err := link.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, links.Close()) })
	_, err = links.SetState("", func(s *link.State) error { s.Freeze = link.FreezeBoth; return nil })
	require.NoError(t, err)
	start := func(i int) {
		other := b.deployment.EntryInstances[1-i]
		b.start(i, func(s *Settings) { s.AddressMap = map[string]string{other.PeerAddr: links.Addr(other.ID)} })
	}
	start(0)
	b.configure(1)
	start(1)
	b.eventually("configuration", func() bool {
		return b.call(1, http.MethodGet, "/v1/lookup?service=salio", "", nil).status == http.StatusOK
	})
	healed := time.AfterFunc(heartbeatInterval, func() { _, _ = links.Heal("") })
	defer healed.Stop()
	r := b.call(1, http.MethodGet, "/v1/call/salio/x", "", nil)
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
}
