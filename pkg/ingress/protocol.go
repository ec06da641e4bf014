package ingress

import (
	"net/http"
	"net/url"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
)

// Protocol is how clients, backend servers and stored rows of a platform speak.
type Protocol interface {
	registry.Decoder

	ReadyPath() string
	LookupPath() string
	ReadLookup(url.Values) fleet.Lookup
	LookupAnswer(addrs []string, ttl time.Duration) ([]byte, error)

	ReadRequest(http.Header) fleet.RequestHead
	// WriteForward sets the time that is left and the server that must
	// answer.
	WriteForward(h http.Header, server string, timeLeft time.Duration)
	ReadAnswer(status int, h http.Header) fleet.ResponseHead
	WriteRetryAfter(h http.Header, after time.Duration)
}
