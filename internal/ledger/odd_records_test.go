package ledger

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// oddScalars returns odd values of a scalar field.
func oddScalars(f protoreflect.FieldDescriptor) (out []protoreflect.Value) {
	switch f.Kind() {
	case protoreflect.BoolKind:
		out = []protoreflect.Value{protoreflect.ValueOfBool(true)}
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		out = []protoreflect.Value{protoreflect.ValueOfInt32(math.MinInt32), protoreflect.ValueOfInt32(-1), protoreflect.ValueOfInt32(math.MaxInt32)}
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		out = []protoreflect.Value{protoreflect.ValueOfInt64(math.MinInt64), protoreflect.ValueOfInt64(-1), protoreflect.ValueOfInt64(1), protoreflect.ValueOfInt64(math.MaxInt64)}
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		out = []protoreflect.Value{protoreflect.ValueOfUint32(1), protoreflect.ValueOfUint32(math.MaxUint32)}
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		out = []protoreflect.Value{protoreflect.ValueOfUint64(1), protoreflect.ValueOfUint64(math.MaxUint64)}
	case protoreflect.DoubleKind:
		out = []protoreflect.Value{protoreflect.ValueOfFloat64(math.NaN()), protoreflect.ValueOfFloat64(math.Inf(1)), protoreflect.ValueOfFloat64(-1)}
	case protoreflect.StringKind:
		out = []protoreflect.Value{protoreflect.ValueOfString("a"), protoreflect.ValueOfString("\x00\n"), protoreflect.ValueOfString(string(make([]byte, 1000)))}
	case protoreflect.BytesKind:
		out = []protoreflect.Value{protoreflect.ValueOfBytes([]byte("a")), protoreflect.ValueOfBytes([]byte{0xff, 0, 0xff}), protoreflect.ValueOfBytes(make([]byte, 1000))}
	case protoreflect.EnumKind:
		out = []protoreflect.Value{protoreflect.ValueOfEnum(-1), protoreflect.ValueOfEnum(1), protoreflect.ValueOfEnum(math.MaxInt32)}
	}
	return out
}

// fillOdd sets every field of a message to the odd value that pick chooses; lists have
// two entries.
func fillOdd(m protoreflect.Message, depth int, pick func(n int) int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.ContainingOneof() != nil && !f.HasOptionalKeyword() && pick(f.ContainingOneof().Fields().Len()) != 0 {
			continue
		}
		isMessage := f.Kind() == protoreflect.MessageKind
		switch values := oddScalars(f); {
		case f.IsMap() || isMessage && depth > 6:
		case f.IsList() && isMessage:
			for range pick(3) {
				fillOdd(m.Mutable(f).List().AppendMutable().Message(), depth+1, pick)
			}
		case f.IsList() && len(values) > 0:
			for range pick(3) {
				m.Mutable(f).List().Append(values[pick(len(values))])
			}
		case isMessage:
			if pick(4) > 0 {
				fillOdd(m.Mutable(f).Message(), depth+1, pick)
			}
		case len(values) > 0:
			if n := pick(len(values) + 1); n > 0 {
				m.Set(f, values[n-1])
			}
		}
	}
}

// Guards against a record with missing or odd values that ends the process of each node
// that reads the log.
func FuzzApplyOddRecords(f *testing.F) {
	f.Add([]byte{})
	for seed := range byte(40) {
		choices := make([]byte, 400)
		for i := range choices {
			choices[i] = byte(i*int(seed+1)*7 + i/3 + int(seed))
		}
		f.Add(choices)
	}
	f.Fuzz(func(t *testing.T, choices []byte) {
		next := 0
		pick := func(n int) int {
			if next >= len(choices) {
				return 0
			}
			next++
			return int(choices[next-1]) % n
		}
		s := New(testOptions())
		for offset := uint64(FirstOffset); offset < FirstOffset+4; offset++ {
			batch := &ledgerv1.Batch{}
			fillOdd(batch.ProtoReflect(), 0, pick)
			batch.Node, batch.Incarnation, batch.Sequence = "node0", 1, offset
			payload, err := proto.Marshal(batch)
			if err != nil {
				continue // a string of invalid UTF-8
			}
			if _, err := s.Apply(offset, payload); err != nil {
				return
			}
		}
	})
}
