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

// frames finds the HTTP/2 frames among the bytes that a client sends. It understands
// nothing but their headers.
type frames struct {
	preface int
	header  [frameHeaderBytes]byte
	filled  int
	current frame
	// payload is how many bytes of the current frame have not arrived.
	payload uint32
}

// feed takes the next bytes. It calls begin for each frame whose header has arrived, and
// end for each one that has arrived whole.
func (p *frames) feed(data []byte, begin, end func(frame)) {
	skipped := min(http2PrefaceBytes-p.preface, len(data))
	p.preface += skipped
	data = data[skipped:]
	for len(data) > 0 {
		if p.filled < frameHeaderBytes {
			n := copy(p.header[p.filled:], data)
			p.filled += n
			data = data[n:]
			if p.filled < frameHeaderBytes {
				return
			}
			p.current = decodeFrame(p.header)
			p.payload = p.current.length
			begin(p.current)
		}
		n := min(p.payload, uint32(min(len(data), 1<<24)))
		p.payload -= n
		data = data[n:]
		if p.payload == 0 {
			p.filled = 0
			end(p.current)
		}
	}
}

func decodeFrame(h [frameHeaderBytes]byte) frame {
	return frame{
		length: uint32(h[0])<<16 | uint32(h[1])<<8 | uint32(h[2]), kind: h[3], flags: h[4],
		stream: binary.BigEndian.Uint32(h[5:]) &^ (1 << 31),
	}
}
