package peers

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
