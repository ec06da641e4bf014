package backend_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
)

// BenchmarkDo measures a call over a warm connection to a stand-in server with
// a service time of zero.
func BenchmarkDo(b *testing.B) {
	settings := standin.DefaultSettings()
	settings.Work.ServiceTime = 0
	settings.Servers = []standin.ServerSettings{{ID: "b1", Addr: "127.0.0.1:0", Slots: 1000}}
	servers, err := standin.Start(settings)
	require.NoError(b, err)
	defer servers.Close()
	p := backend.NewPool(backend.Config{})
	defer p.Close()
	call := callTo(servers.Addr("b1"), "k")
	call.Header = http.Header{}
	call.Timeout = 5 * time.Second
	b.ResetTimer()
	for range b.N {
		if _, err := p.Do(context.Background(), call); err != nil {
			b.Fatal(err)
		}
	}
}
