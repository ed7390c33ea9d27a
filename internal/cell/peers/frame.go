package peers

import "encoding/binary"

const (
	http2PrefaceBytes = 24
	frameHeaderBytes  = 9

	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameContinuation = 0x9
	flagEndStream     = 0x1
)

// frame is the header of an HTTP/2 frame.
type frame struct {
	length uint32
	kind   byte
	flags  byte
	stream uint32
}

// endsStream reports whether the frame is the last one of a message.
func (f frame) endsStream() bool {
	return (f.kind == frameData || f.kind == frameHeaders) && f.flags&flagEndStream != 0
}

func decodeFrame(h [frameHeaderBytes]byte) frame {
	return frame{
		length: uint32(h[0])<<16 | uint32(h[1])<<8 | uint32(h[2]), kind: h[3], flags: h[4],
		stream: binary.BigEndian.Uint32(h[5:]) &^ (1 << 31),
	}
}
