package heartbeat

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// marshalAndUnmarshal returns the message as a receiver decodes it.
func marshalAndUnmarshal(t require.TestingT, m *wire.Heartbeat) *wire.Heartbeat {
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	out := &wire.Heartbeat{}
	require.NoError(t, proto.Unmarshal(data, out))
	return out
}

func drawState(t *rapid.T) *wire.Heartbeat {
	counts := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b"}), rapid.Int32Range(0, 3), 0, 2)
	return &wire.Heartbeat{
		Entry:            "e1",
		Incarnation:      rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		State:            wire.EntryState(rapid.Int32Range(0, 3).Draw(t, "state")),
		ConfigVersion:    rapid.Uint64Range(0, 2).Draw(t, "version"),
		FreeSlots:        counts.Draw(t, "free"),
		QueueLength:      counts.Draw(t, "queue"),
		LeavingServers:   rapid.SliceOfN(rapid.SampledFrom([]string{"s1", "s2"}), 0, 2).Draw(t, "leaving"),
		PredecessorClean: rapid.Bool().Draw(t, "clean"),
	}
}

// Guards against decoded states that differ from the encoded ones, and against
// accepting messages after a lost, repeated or reordered one.
func TestDecoderFollowsEncoder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var enc Encoder
		var dec Decoder
		var past []*wire.Heartbeat
		first := rapid.Uint64Range(1, 1000).Draw(rt, "first")
		for i := range rapid.IntRange(1, 20).Draw(rt, "n") {
			state := drawState(rt)
			state.Sequence = first
			sent := marshalAndUnmarshal(rt, enc.Next(state))
			require.Equal(rt, first+uint64(i), sent.GetSequence())
			require.Equal(rt, i == 0, IsComplete(sent))
			if i > 0 && rapid.Bool().Draw(rt, "disorder") {
				_, err := dec.Apply(rapid.SampledFrom(past).Draw(rt, "old"))
				require.Error(rt, err)
				ahead := proto.CloneOf(sent)
				ahead.Sequence++
				_, err = dec.Apply(ahead)
				require.ErrorIs(rt, err, ErrGap)
			}
			got, err := dec.Apply(sent)
			require.NoError(rt, err)
			require.True(rt, proto.Equal(marshalAndUnmarshal(rt, state), got), "%v\n%v", state, got)
			past = append(past, sent)
		}
	})
}

// Guards against large messages for unchanged states, which are almost all of the
// control traffic.
func TestUnchangedMessageIsSmall(t *testing.T) {
	var enc Encoder
	state := func() *wire.Heartbeat {
		return &wire.Heartbeat{Entry: "e1", Incarnation: 1 << 60, FreeSlots: map[string]int32{"a": 1}, Sequence: 1}
	}
	require.Greater(t, proto.Size(enc.Next(state())), 15)
	require.Equal(t, 2, proto.Size(enc.Next(state())))
}

// Guards against an incremental message being applied without a previous state.
func TestStreamNeedsCompleteFirstMessage(t *testing.T) {
	_, err := new(Decoder).Apply(&wire.Heartbeat{Sequence: 1})
	require.ErrorIs(t, err, ErrGap)
}

// FuzzApply guards against input that panics, is accepted out of sequence or
// modifies a state that was returned before.
func FuzzApply(f *testing.F) {
	var enc Encoder
	for _, hb := range []*wire.Heartbeat{
		{Entry: "e1", Sequence: 6, ConfigVersion: 3, FreeSlots: map[string]int32{"a": 1}},
		{Entry: "e1"},
	} {
		data, err := proto.Marshal(enc.Next(hb))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add(protowire.AppendBytes(protowire.AppendTag(nil, clearedField, protowire.BytesType), []byte{8, 200}))
	f.Fuzz(func(t *testing.T, data []byte) {
		message := &wire.Heartbeat{}
		if proto.Unmarshal(data, message) != nil {
			return
		}
		var dec Decoder
		start := completeMessage(&wire.Heartbeat{Entry: "e1", Sequence: 6, FreeSlots: map[string]int32{"a": 1}})
		before, err := dec.Apply(start)
		require.NoError(t, err)
		after, err := dec.Apply(message)
		require.EqualValues(t, 6, before.GetSequence())
		require.Equal(t, map[string]int32{"a": 1}, before.GetFreeSlots())
		if err == nil {
			require.EqualValues(t, 7, after.GetSequence())
			require.Empty(t, after.ProtoReflect().GetUnknown())
		}
	})
}
