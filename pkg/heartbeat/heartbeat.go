// Package heartbeat turns the heartbeats for one peer into a stream of
// messages that carry only what changed.
//
// A message is an encoded wire.Heartbeat with up to two more fields, numbered
// apart from those of the message type. The first message of a stream is
// complete. Each later one has the next sequence number, the fields that differ
// from the previous message, and the numbers of the fields that became empty.
// Fields are compared one by one by reflection, so a field that is added to
// wire.Heartbeat is carried without a change here.
//
// The package is pure. Encoder and Decoder are not safe for concurrent use.
package heartbeat

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Fields beside those of wire.Heartbeat. Its own fields stay below
// firstStreamField.
const (
	firstStreamField = 20
	// completeField marks a message that needs no previous one.
	completeField protowire.Number = 20
	// clearedField holds the packed numbers of fields that became empty.
	clearedField protowire.Number = 21
)

// Errors of Decoder.Apply, told apart with errors.Is. After either one the
// stream must be ended, and the sender starts a new one with a complete
// message.
var (
	ErrMalformed = errors.New("heartbeat: malformed message")
	// ErrGap means that the message does not follow the previous one.
	ErrGap = errors.New("heartbeat: message out of sequence")
)

var fields = (&wire.Heartbeat{}).ProtoReflect().Descriptor().Fields()

// IsComplete reports whether a decoded message can start a stream.
func IsComplete(hb *wire.Heartbeat) bool {
	extra, err := parseExtra(hb.ProtoReflect().GetUnknown())
	return err == nil && extra.complete
}

// Encoder makes the messages of one stream.
type Encoder struct {
	last *wire.Heartbeat
}

// Next returns the message for the state in hb, which the encoder keeps and
// the caller must not change afterwards. The encoder sets the sequence of all
// messages after the first one, whose sequence the caller chooses.
func (e *Encoder) Next(hb *wire.Heartbeat) *wire.Heartbeat {
	if e.last == nil {
		e.last = hb
		return complete(hb)
	}
	hb.Sequence = e.last.GetSequence() + 1
	out := difference(e.last, hb)
	e.last = hb
	return out
}

// complete is a shallow copy with the mark, because hb is compared with the
// next message.
func complete(hb *wire.Heartbeat) *wire.Heartbeat {
	out := &wire.Heartbeat{}
	to := out.ProtoReflect()
	hb.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		to.Set(fd, v)
		return true
	})
	mark := protowire.AppendTag(nil, completeField, protowire.VarintType)
	to.SetUnknown(protowire.AppendVarint(mark, 1))
	return out
}

// difference holds the fields of now that differ from then.
func difference(then, now *wire.Heartbeat) *wire.Heartbeat {
	out := &wire.Heartbeat{}
	to, from, previous := out.ProtoReflect(), now.ProtoReflect(), then.ProtoReflect()
	var cleared []byte
	for i := range fields.Len() {
		fd := fields.Get(i)
		if from.Get(fd).Equal(previous.Get(fd)) {
			continue
		}
		if !from.Has(fd) {
			cleared = protowire.AppendVarint(cleared, uint64(fd.Number()))
			continue
		}
		to.Set(fd, from.Get(fd))
	}
	if len(cleared) > 0 {
		extra := protowire.AppendTag(nil, clearedField, protowire.BytesType)
		to.SetUnknown(protowire.AppendBytes(extra, cleared))
	}
	return out
}

// Decoder rebuilds the states of one stream.
type Decoder struct {
	state *wire.Heartbeat
}

// Apply takes the next message of the stream and returns the state after it.
// The result is the caller's own.
func (d *Decoder) Apply(message *wire.Heartbeat) (*wire.Heartbeat, error) {
	extra, err := parseExtra(message.ProtoReflect().GetUnknown())
	if err != nil {
		return nil, err
	}
	if extra.complete {
		if d.state != nil {
			return nil, errors.Wrap(ErrMalformed, "second complete message")
		}
		d.state = proto.CloneOf(message)
		d.state.ProtoReflect().SetUnknown(nil)
		return proto.CloneOf(d.state), nil
	}
	if d.state == nil {
		return nil, errors.Wrap(ErrGap, "no complete message before")
	}
	if want := d.state.GetSequence() + 1; message.GetSequence() != want {
		return nil, errors.Wrapf(ErrGap, "sequence %d instead of %d", message.GetSequence(), want)
	}
	d.merge(message, extra.cleared)
	return proto.CloneOf(d.state), nil
}

func (d *Decoder) merge(message *wire.Heartbeat, cleared []protowire.Number) {
	state := d.state.ProtoReflect()
	for _, number := range cleared {
		if fd := fields.ByNumber(number); fd != nil {
			state.Clear(fd)
		}
	}
	// A field that is present replaces the previous value as a whole.
	proto.CloneOf(message).ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		state.Set(fd, v)
		return true
	})
}

// extraFields are the fields beside those of wire.Heartbeat.
type extraFields struct {
	complete bool
	cleared  []protowire.Number
}

// parseExtra ignores fields that it does not know: a newer sender may add some
// to wire.Heartbeat.
func parseExtra(unknown []byte) (extraFields, error) {
	var out extraFields
	for len(unknown) > 0 {
		number, kind, n := protowire.ConsumeTag(unknown)
		if n < 0 {
			return out, errors.Wrap(ErrMalformed, "tag")
		}
		unknown = unknown[n:]
		size := protowire.ConsumeFieldValue(number, kind, unknown)
		if size < 0 {
			return out, errors.Wrap(ErrMalformed, "value")
		}
		if err := out.add(number, kind, unknown[:size]); err != nil {
			return out, err
		}
		unknown = unknown[size:]
	}
	return out, nil
}

func (x *extraFields) add(number protowire.Number, kind protowire.Type, value []byte) error {
	switch {
	case number == completeField && kind == protowire.VarintType:
		v, _ := protowire.ConsumeVarint(value)
		x.complete = v == 1
	case number == clearedField && kind == protowire.BytesType:
		return x.addCleared(value)
	case number == completeField || number == clearedField:
		return errors.Wrapf(ErrMalformed, "type of field %d", number)
	}
	return nil
}

func (x *extraFields) addCleared(value []byte) error {
	list, _ := protowire.ConsumeBytes(value)
	for len(list) > 0 {
		number, n := protowire.ConsumeVarint(list)
		if n < 0 || number >= firstStreamField {
			return errors.Wrap(ErrMalformed, "cleared field")
		}
		x.cleared = append(x.cleared, protowire.Number(number))
		list = list[n:]
	}
	return nil
}
