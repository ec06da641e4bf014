package ingress

import (
	"net/http"
	"net/url"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
)

// Protocol encodes and decodes the messages of clients and backend servers and the
// stored rows of a platform.
type Protocol interface {
	registry.Decoder

	ReadyPath() string
	LookupPath() string
	ReadLookup(url.Values) fleet.Lookup
	EncodeLookupResponse(addrs []string, ttl time.Duration) ([]byte, error)

	ReadRequest(http.Header) fleet.RequestHead
	// WriteIdentity replaces the client's key, and what it says of its organisation, by
	// the name of the organisation; empty for none.
	WriteIdentity(h http.Header, organisation string)
	// WriteForward sets the headers that carry the remaining time and the
	// server that must handle the request.
	WriteForward(h http.Header, server string, timeLeft time.Duration)
	ReadResponse(status int, h http.Header) fleet.ResponseHead
	WriteRetryAfter(h http.Header, after time.Duration)
}
