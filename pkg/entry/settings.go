package entry

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Settings are the start-up settings of one entry instance. Everything that
// operators can change while it runs is in the configuration document instead.
type Settings struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	CallerAddr    string `json:"caller_addr"`
	PeerAddr      string `json:"peer_addr"`
	OperatorAddr  string `json:"operator_addr"`
	// PlatformURL is the base URL of the platform services.
	PlatformURL string `json:"platform_url"`
	// Seeds are peer addresses from which a new instance also fetches the
	// configuration, in case the platform cannot be reached.
	Seeds []string `json:"seeds,omitempty"`
	// OperatorToken is the bearer token that operators send.
	OperatorToken string `json:"operator_token"`
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL config.Duration `json:"lookup_ttl,omitempty"`
	// NoPredecessor states that no earlier process of this entry instance can
	// have requests in flight, so that its slots are usable without a hold-off.
	NoPredecessor bool `json:"no_predecessor,omitempty"`
	// MaxRequestBytes and MaxResponseBytes limit the size of one body.
	MaxRequestBytes  int64 `json:"max_request_bytes,omitempty"`
	MaxResponseBytes int64 `json:"max_response_bytes,omitempty"`
	// MaxBufferedBytes limits the memory of all bodies of requests and responses
	// that are held at the same time.
	MaxBufferedBytes int64 `json:"max_buffered_bytes,omitempty"`
	// MaxCallerConnections limits the number of open connections of callers.
	MaxCallerConnections int `json:"max_caller_connections,omitempty"`
	// BlocksBytesPerSecond limits the rate at which client blocks that are not in
	// the configuration document are fetched.
	BlocksBytesPerSecond int `json:"blocks_bytes_per_second,omitempty"`
	// AllowClientAddress lets a caller state its address in the header
	// Client-Address or, for a lookup, in the query parameter "client". It is
	// meant for callers that share one source address.
	AllowClientAddress bool `json:"allow_client_address,omitempty"`
	// AddressMap maps configured addresses of peers and backend servers to the
	// addresses to dial from here, for networks with address translation between
	// failure domains.
	AddressMap map[string]string `json:"address_map,omitempty"`
	LogLevel   string            `json:"log_level,omitempty"`
	// LogFormat is "text" or "json".
	LogFormat string    `json:"log_format,omitempty"`
	TLS       *TLSFiles `json:"tls,omitempty"`
	// PeerTLS enables mutual TLS between entry instances.
	PeerTLS *PeerTLSFiles `json:"peer_tls,omitempty"`
}

// TLSFiles names the certificate and key of the operator listener.
type TLSFiles struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// PeerTLSFiles names the certificate and key of this entry instance, and the
// certificate authority that signs the certificates of all entry instances.
type PeerTLSFiles struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
	// ServerName is the DNS name that the certificate of every entry instance
	// contains.
	ServerName string `json:"server_name"`
}

// Formats of log lines.
const (
	LogFormatText = "text"
	LogFormatJSON = "json"
)

// Defaults of optional settings.
const (
	defaultLookupTTL            = 5 * time.Second
	defaultMaxRequestBytes      = 1 << 20
	defaultMaxResponseBytes     = 4 << 20
	defaultMaxBufferedBytes     = 32 << 20
	defaultMaxCallerConnections = 4096
	// Control traffic may use 12 KB/s in the largest planned deployment, of which
	// everything else takes less than a third.
	defaultBlocksBytesPerSecond = 8192
)

// SetDefaults sets the optional settings that are zero to their defaults.
func (s *Settings) SetDefaults() {
	if s.LookupTTL == 0 {
		s.LookupTTL = config.Duration(defaultLookupTTL)
	}
	if s.MaxRequestBytes == 0 {
		s.MaxRequestBytes = defaultMaxRequestBytes
	}
	if s.MaxResponseBytes == 0 {
		s.MaxResponseBytes = defaultMaxResponseBytes
	}
	if s.MaxBufferedBytes == 0 {
		s.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if s.MaxCallerConnections == 0 {
		s.MaxCallerConnections = defaultMaxCallerConnections
	}
	if s.BlocksBytesPerSecond == 0 {
		s.BlocksBytesPerSecond = defaultBlocksBytesPerSecond
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
}

// Check adds a finding for each invalid setting.
func (s *Settings) Check(l *findings.List) {
	required(l, "id", s.ID)
	if s.ID != "" && !validID(s.ID) {
		l.Add("id", "must be 1 to 64 letters, digits, dots, dashes or underscores, got %q", s.ID)
	}
	required(l, "failure_domain", s.FailureDomain)
	required(l, "operator_token", s.OperatorToken)
	addrs := map[string]string{}
	checkAddr(l, addrs, "caller_addr", s.CallerAddr)
	checkAddr(l, addrs, "peer_addr", s.PeerAddr)
	checkAddr(l, addrs, "operator_addr", s.OperatorAddr)
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.Add("platform_url", "must be an http or https URL, got %q", s.PlatformURL)
	}
	for i, seed := range s.Seeds {
		if !validHostPort(seed) {
			l.Add(indexPath("seeds", i), "must be IP:port, got %q", seed)
		}
	}
	for from, to := range s.AddressMap {
		if !validHostPort(from) || !validHostPort(to) {
			l.Add("address_map", "must map IP:port to IP:port, got %q to %q", from, to)
		}
	}
	if s.LogFormat != "" && s.LogFormat != LogFormatText && s.LogFormat != LogFormatJSON {
		l.Add("log_format", "must be %q or %q, got %q", LogFormatText, LogFormatJSON, s.LogFormat)
	}
	if s.LogLevel != "" && hclog.LevelFromString(s.LogLevel) == hclog.NoLevel {
		l.Add("log_level", "must be trace, debug, info, warn or error, got %q", s.LogLevel)
	}
	checkSizes(l, s)
	if s.TLS != nil && (s.TLS.CertFile == "" || s.TLS.KeyFile == "") {
		l.Add("tls", "needs both cert_file and key_file")
	}
	if p := s.PeerTLS; p != nil && (p.CertFile == "" || p.KeyFile == "" || p.CAFile == "" || p.ServerName == "") {
		l.Add("peer_tls", "needs cert_file, key_file, ca_file and server_name")
	}
}

func checkSizes(l *findings.List, s *Settings) {
	if s.LookupTTL < 0 {
		l.Add("lookup_ttl", "must not be negative")
	}
	// A peer message holds one body and may have at most 6 MiB.
	const maxBody = 5 << 20
	for _, size := range []struct {
		path  string
		value int64
	}{
		{"max_request_bytes", s.MaxRequestBytes},
		{"max_response_bytes", s.MaxResponseBytes},
	} {
		if size.value < 0 || size.value > maxBody {
			l.Add(size.path, "must be 0 to %d bytes, got %d", maxBody, size.value)
		}
	}
	if s.MaxBufferedBytes < 0 {
		l.Add("max_buffered_bytes", "must not be negative")
	}
	if s.BlocksBytesPerSecond < 0 {
		l.Add("blocks_bytes_per_second", "must not be negative")
	}
	if s.MaxCallerConnections < 0 {
		l.Add("max_caller_connections", "must not be negative")
	}
}

func required(l *findings.List, path, value string) {
	if value == "" {
		l.Add(path, "is required")
	}
}

func checkAddr(l *findings.List, seen map[string]string, path, addr string) {
	if !validHostPort(addr) {
		l.Add(path, "must be IP:port, got %q", addr)
		return
	}
	if other, ok := seen[addr]; ok {
		l.Add(path, "is the same address as %s", other)
		return
	}
	seen[addr] = path
}

// validID reports whether idempotency keys issued by an entry instance with this
// id can be parsed.
func validID(id string) bool {
	_, err := claim.ParseKey(claim.NewIssuedKey(claim.Incarnation{Entry: id}, time.Now()))
	return err == nil
}

func validHostPort(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() != 0
}

// dialAddr returns the address to dial for a configured address.
func (s *Settings) dialAddr(addr string) string {
	if mapped, ok := s.AddressMap[addr]; ok {
		return mapped
	}
	return addr
}
