package peers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against messages that are counted wrongly, since frames begin or end anywhere
// in what is read from a connection.
func TestFramesAreFoundInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wire := make([]byte, http2PrefaceBytes)
		var want []frame
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			f := frame{
				length: rapid.SampledFrom([]uint32{0, 1, 9, 300}).Draw(t, "length"), kind: rapid.Byte().Draw(t, "kind"),
				flags: rapid.Byte().Draw(t, "flags"), stream: rapid.Uint32Max(1<<31-1).Draw(t, "stream"),
			}
			want = append(want, f)
			wire = append(wire, byte(f.length>>16), byte(f.length>>8), byte(f.length), f.kind, f.flags,
				byte(f.stream>>24)|1<<7, byte(f.stream>>16), byte(f.stream>>8), byte(f.stream))
			wire = append(wire, make([]byte, f.length)...)
		}
		var p frames
		var begun, ended []frame
		for rest := wire; len(rest) > 0; {
			n := rapid.IntRange(1, min(len(rest), 40)).Draw(t, "piece")
			p.feed(rest[:n], func(f frame) { begun = append(begun, f) }, func(f frame) { ended = append(ended, f) })
			rest = rest[n:]
			if len(begun)-len(ended) > 1 {
				t.Fatalf("%d frames begun, %d ended", len(begun), len(ended))
			}
		}
		if !slices.Equal(begun, want) || !slices.Equal(ended, want) {
			t.Fatalf("begun %v, ended %v, want %v", begun, ended, want)
		}
	})
}

// Guards against the end of a message that is seen before its last bytes have arrived,
// so that an incomplete message is not counted.
func TestFrameEndsWithItsLastByte(t *testing.T) {
	wire := append(make([]byte, http2PrefaceBytes), 0, 0, 2, frameData, flagEndStream, 0, 0, 0, 1, 'x', 'y')
	var p frames
	ended := 0
	count := func(f frame) {
		if f.endsStream() {
			ended++
		}
	}
	p.feed(wire[:len(wire)-1], func(frame) {}, count)
	if ended != 0 {
		t.Error("the frame has ended before its last byte")
	}
	p.feed(wire[len(wire)-1:], func(frame) {}, count)
	if ended != 1 {
		t.Error("the frame has not ended")
	}
}
