// Package heartbeat encodes the heartbeats to one peer as a stream of messages
// that contain only the changed fields.
//
// A message is an encoded wire.Heartbeat with up to two additional fields, whose
// numbers wire.Heartbeat does not use. The first message of a stream is complete.
// Each later one contains the next sequence number, the fields that differ from
// the previous state, and the numbers of the fields that became empty. Fields are
// compared by reflection, so new fields of wire.Heartbeat need no change here.
//
// The package does no I/O. Encoder and Decoder are not safe for concurrent use.
package heartbeat

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Field numbers used only on a stream. The fields of wire.Heartbeat have numbers
// below firstStreamField.
const (
	firstStreamField = 20
	// completeField marks a message that does not depend on a previous one.
	completeField protowire.Number = 20
	// clearedField holds the packed numbers of the fields that became empty.
	clearedField protowire.Number = 21
)

// Errors of Decoder.Apply, to be tested with errors.Is. After either one the
// receiver must close the stream; the sender then opens a new one with a complete
// message.
var (
	ErrMalformed = errors.New("heartbeat: malformed message")
	// ErrGap means that the message does not follow the previous one.
	ErrGap = errors.New("heartbeat: message out of sequence")
)

var heartbeatFields = (&wire.Heartbeat{}).ProtoReflect().Descriptor().Fields()

// IsComplete reports whether a decoded message can start a stream.
func IsComplete(hb *wire.Heartbeat) bool {
	extra, err := parseStreamFields(hb.ProtoReflect().GetUnknown())
	return err == nil && extra.complete
}

// Encoder encodes the messages of one stream.
type Encoder struct {
	last *wire.Heartbeat
}

// Next returns the message for the state in hb. The encoder keeps hb, so the caller
// must not modify it afterwards. The caller sets the sequence number of the first
// message, the encoder those of all later ones.
func (e *Encoder) Next(hb *wire.Heartbeat) *wire.Heartbeat {
	if e.last == nil {
		e.last = hb
		return completeMessage(hb)
	}
	hb.Sequence = e.last.GetSequence() + 1
	out := diff(e.last, hb)
	e.last = hb
	return out
}

// completeMessage returns a shallow copy of hb with completeField set. It does not
// modify hb, which the encoder compares with the next state.
func completeMessage(hb *wire.Heartbeat) *wire.Heartbeat {
	out := &wire.Heartbeat{}
	outFields := out.ProtoReflect()
	hb.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		outFields.Set(fd, v)
		return true
	})
	mark := protowire.AppendTag(nil, completeField, protowire.VarintType)
	outFields.SetUnknown(protowire.AppendVarint(mark, 1))
	return out
}

// diff returns a message with the fields of current that differ from previous.
func diff(previous, current *wire.Heartbeat) *wire.Heartbeat {
	out := &wire.Heartbeat{}
	outFields, currentFields, previousFields := out.ProtoReflect(), current.ProtoReflect(), previous.ProtoReflect()
	var cleared []byte
	for i := range heartbeatFields.Len() {
		fd := heartbeatFields.Get(i)
		if currentFields.Get(fd).Equal(previousFields.Get(fd)) {
			continue
		}
		if !currentFields.Has(fd) {
			cleared = protowire.AppendVarint(cleared, uint64(fd.Number()))
			continue
		}
		outFields.Set(fd, currentFields.Get(fd))
	}
	if len(cleared) > 0 {
		extra := protowire.AppendTag(nil, clearedField, protowire.BytesType)
		outFields.SetUnknown(protowire.AppendBytes(extra, cleared))
	}
	return out
}

// Decoder reconstructs the states sent on one stream.
type Decoder struct {
	state *wire.Heartbeat
}

// Apply applies the next message of the stream and returns the resulting state,
// which the caller may modify.
func (d *Decoder) Apply(message *wire.Heartbeat) (*wire.Heartbeat, error) {
	extra, err := parseStreamFields(message.ProtoReflect().GetUnknown())
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
		return nil, errors.Wrap(ErrGap, "no complete message received yet")
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
		if fd := heartbeatFields.ByNumber(number); fd != nil {
			state.Clear(fd)
		}
	}
	// A present field replaces the whole previous value, including maps and lists.
	proto.CloneOf(message).ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		state.Set(fd, v)
		return true
	})
}

// streamFields holds the decoded fields that are used only on a stream.
type streamFields struct {
	complete bool
	cleared  []protowire.Number
}

// parseStreamFields ignores unknown fields, because wire.Heartbeat of a newer
// sender may have additional fields.
func parseStreamFields(unknown []byte) (streamFields, error) {
	var out streamFields
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
		if err := out.parseField(number, kind, unknown[:size]); err != nil {
			return out, err
		}
		unknown = unknown[size:]
	}
	return out, nil
}

func (x *streamFields) parseField(number protowire.Number, kind protowire.Type, value []byte) error {
	switch {
	case number == completeField && kind == protowire.VarintType:
		v, _ := protowire.ConsumeVarint(value)
		x.complete = v == 1
	case number == clearedField && kind == protowire.BytesType:
		return x.parseCleared(value)
	case number == completeField || number == clearedField:
		return errors.Wrapf(ErrMalformed, "wrong type of field %d", number)
	}
	return nil
}

func (x *streamFields) parseCleared(value []byte) error {
	list, _ := protowire.ConsumeBytes(value)
	for len(list) > 0 {
		number, n := protowire.ConsumeVarint(list)
		if n < 0 || number >= firstStreamField {
			return errors.Wrap(ErrMalformed, "invalid cleared field")
		}
		x.cleared = append(x.cleared, protowire.Number(number))
		list = list[n:]
	}
	return nil
}
