package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// request is a request of a caller, or one that a peer has forwarded.
type request struct {
	id         string
	view       *configView
	contract   *config.Contract
	service    *config.Service
	homeRegion string

	method string
	path   string // path and query for the backend server
	header http.Header
	body   []byte
	memory requestMemory

	deadline time.Time
	received time.Time

	// key is set for services that are not idempotent.
	key claim.Key
	// claim is the claim that this instance owns while it runs the request.
	claim *claim.AttemptRef
}

func (r *request) claimID() claim.ID {
	return claim.ID{Customer: r.contract.Customer, Service: r.service.Name, Key: r.key.Raw}
}

func (r *request) fingerprint() claim.Fingerprint {
	return claim.FingerprintOf(r.method, r.path, r.body)
}

func (r *request) timeLeft(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// nonForwardedHeaders are headers that belong to one connection or to this system
// and are not forwarded.
var nonForwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
	HeaderRequestTimeout, HeaderRequestID, HeaderIdempotencyKey,
	HeaderOutcome, HeaderConfigVersion, HeaderEntry, HeaderBackendServer,
}

// Header names of the caller interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout-Ms"
	HeaderRequestID      = "Dandelionrack-Request-Id"
	HeaderOutcome        = "Dandelionrack-Outcome"
	HeaderConfigVersion  = "Dandelionrack-Config-Version"
	HeaderEntry          = "Dandelionrack-Entry"
	HeaderBackendServer  = "Dandelionrack-Backend-Server"
)

// endToEndHeaders returns a copy of the headers that are forwarded.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range nonForwardedHeaders {
		out.Del(name)
	}
	return out
}
