package claim

import (
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Limits of the age of a key, computed from the creation time in its UUID.
const (
	MaxKeyAge       = 24 * time.Hour
	MaxKeyClockSkew = 10 * time.Minute
)

const (
	issuedPrefix   = "e1."
	uuidLength     = 36
	maxEntryLength = 64
	rowPrefix      = "claim/"
)

// Incarnation identifies one process run of an entry instance.
type Incarnation struct {
	Entry  string
	Number uint64
}

// ID identifies a claim. Service is the canonical name of the service.
type ID struct{ Customer, Service, Key string }

func (id ID) rowKey() string {
	return rowPrefix + url.PathEscape(id.Customer) + "/" + url.PathEscape(id.Service) + "/" + id.Key
}

func parseRowKey(s string) (ID, error) {
	parts := strings.Split(strings.TrimPrefix(s, rowPrefix), "/")
	if len(parts) != 3 {
		return ID{}, errors.Errorf("row key %q is not a claim", s)
	}
	customer, err := url.PathUnescape(parts[0])
	if err != nil {
		return ID{}, errors.Wrap(err, "customer")
	}
	service, err := url.PathUnescape(parts[1])
	if err != nil {
		return ID{}, errors.Wrap(err, "service")
	}
	return ID{Customer: customer, Service: service, Key: parts[2]}, nil
}

// Key is a parsed idempotency key. In Raw the hexadecimal parts are lower case,
// so that two spellings of a UUID are the same claim.
type Key struct {
	Raw     string
	Issued  bool        // issued by an entry instance, not made by the caller
	Owner   Incarnation // issuer of an entry-issued key
	Created time.Time
}

// KeyError reports why a key is refused. Reason is ReasonKeyInvalid or
// ReasonKeyExpired.
type KeyError struct {
	Reason string
	Detail string
}

func (e *KeyError) Error() string { return e.Reason + ": " + e.Detail }

func invalidKey(detail string) error {
	return &KeyError{Reason: ReasonKeyInvalid, Detail: detail}
}

// ParseKey parses a caller-made key (UUID version 7) or an entry-issued key
// (e1.<entry>.<incarnation>.<UUID version 7>). The error is a *KeyError.
func ParseKey(raw string) (Key, error) {
	if strings.HasPrefix(raw, issuedPrefix) {
		return parseIssuedKey(raw)
	}
	id, created, err := parseUUID(raw)
	if err != nil {
		return Key{}, err
	}
	return Key{Raw: id, Created: created}, nil
}

func parseIssuedKey(raw string) (Key, error) {
	rest := strings.TrimPrefix(raw, issuedPrefix)
	// The entry id may contain dots, so the other parts are split off from the end.
	dot := strings.LastIndexByte(rest, '.')
	if dot < 0 {
		return Key{}, invalidKey("entry-issued key has too few parts")
	}
	id, created, err := parseUUID(rest[dot+1:])
	if err != nil {
		return Key{}, err
	}
	owner, err := parseIncarnation(rest[:dot])
	if err != nil {
		return Key{}, err
	}
	return Key{Raw: issuedKey(owner, id), Issued: true, Owner: owner, Created: created}, nil
}

func parseIncarnation(s string) (Incarnation, error) {
	dot := strings.LastIndexByte(s, '.')
	if dot < 0 {
		return Incarnation{}, invalidKey("entry-issued key has too few parts")
	}
	entry, digits := s[:dot], s[dot+1:]
	if !validEntry(entry) {
		return Incarnation{}, invalidKey("entry id must be 1 to 64 letters, digits, '.', '_' or '-'")
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != 8 {
		return Incarnation{}, invalidKey("incarnation must be 16 hexadecimal digits")
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return Incarnation{}, invalidKey("incarnation must be 16 hexadecimal digits")
	}
	return Incarnation{Entry: entry, Number: number}, nil
}

func validEntry(s string) bool {
	if s == "" || len(s) > maxEntryLength {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func parseUUID(s string) (string, time.Time, error) {
	// uuid.Parse also accepts the braces, URN and bare hexadecimal forms; each
	// form of a UUID would be a separate claim.
	if len(s) != uuidLength {
		return "", time.Time{}, invalidKey("UUID must have 36 characters")
	}
	id, err := uuid.Parse(s)
	if err != nil {
		return "", time.Time{}, invalidKey("UUID is malformed")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", time.Time{}, invalidKey("UUID must be version 7")
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return id.String(), time.UnixMilli(ms).UTC(), nil
}

// CheckAge refuses a key that is too old or too far in the future. The error
// is a *KeyError.
func (k Key) CheckAge(now time.Time) error {
	if now.Sub(k.Created) > MaxKeyAge {
		return &KeyError{Reason: ReasonKeyExpired, Detail: "key is older than 24 h"}
	}
	if k.Created.Sub(now) > MaxKeyClockSkew {
		return &KeyError{Reason: ReasonKeyExpired, Detail: "key is more than 10 min in the future"}
	}
	return nil
}

// NewIssuedKey returns an entry-issued key of owner with creation time now.
func NewIssuedKey(owner Incarnation, now time.Time) string {
	return issuedKey(owner, newUUID(now).String())
}

func issuedKey(owner Incarnation, id string) string {
	number := strconv.FormatUint(owner.Number, 16)
	padding := strings.Repeat("0", 16-len(number))
	return issuedPrefix + owner.Entry + "." + padding + number + "." + id
}

func newUUID(now time.Time) uuid.UUID {
	id := uuid.New()
	ms := now.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	id[6] = id[6]&0x0f | 0x70
	return id
}
