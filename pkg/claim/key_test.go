package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleUUID = "01a23f7e-8307-744c-be1d-97a689b92a6d"

// Guards against two spellings of a key that become two claims, and against keys
// that make a row key ambiguous.
func FuzzParseKey(f *testing.F) {
	for _, s := range []string{
		"", "e1.", "e1..", sampleUUID, strings.ToUpper(sampleUUID), "{" + sampleUUID + "}",
		"urn:uuid:" + sampleUUID, strings.ReplaceAll(sampleUUID, "-", ""),
		"01a23f7e-8307-444c-be1d-97a689b92a6d", "01a23f7e-8307-744c-0e1d-97a689b92a6d",
		NewIssuedKey(Incarnation{"attiki.a-1", 1 << 63}, time.UnixMilli(1_800_000_000_000)),
		"e1.a.00000000000000FF." + sampleUUID, "e1.a.+0000000000000ff." + sampleUUID,
		"e1.a/b.00000000000000ff." + sampleUUID, "e1..00000000000000ff." + sampleUUID,
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			var ke *KeyError
			require.ErrorAs(t, err, &ke)
			require.Equal(t, ReasonKeyInvalid, ke.Reason)
			return
		}
		require.True(t, strings.EqualFold(k.Raw, s))
		again, err := ParseKey(k.Raw)
		require.NoError(t, err)
		require.Equal(t, k, again)
		id, err := parseRowKey(ID{"a/b", "c%", k.Raw}.rowKey())
		require.NoError(t, err)
		require.Equal(t, ID{"a/b", "c%", k.Raw}, id)
	})
}

// Guards against a key that is accepted for as long as its row exists.
func TestCheckAge(t *testing.T) {
	created := time.UnixMilli(1_800_000_000_000)
	owner := Incarnation{"entry-1", 5}
	k, err := ParseKey(NewIssuedKey(owner, created))
	require.NoError(t, err)
	require.True(t, k.Issued)
	require.Equal(t, owner, k.Owner)
	require.True(t, created.Equal(k.Created))
	for age, ok := range map[time.Duration]bool{
		0: true, MaxKeyAge: true, MaxKeyAge + 1: false, -MaxKeyClockSkew: true, -MaxKeyClockSkew - 1: false,
	} {
		require.Equal(t, ok, k.CheckAge(created.Add(age)) == nil, age)
	}
}

// Guards against different requests with the same fingerprint because the parts
// are hashed without a separator.
func TestFingerprintParts(t *testing.T) {
	a := FingerprintOf("POST", "/x", []byte("y"))
	require.NotEqual(t, a, FingerprintOf("POST", "/xy", nil))
	require.NotEqual(t, a, FingerprintOf("POS", "T/x", []byte("y")))
}
