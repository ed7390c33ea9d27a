package front

import (
	"errors"
	"io"
	"os"

	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
	"github.com/medlarpulley/medlarpulley/platform"
)

// errBodyShed is the error of a body that has given way to others.
var errBodyShed = errors.New("too many request bodies arrive at the same time")

// incomingBody is a request body that is being received or processed. blocks and size are
// guarded by bodies.mu; all blocks but the last one are full.
type incomingBody struct {
	bodies *Bodies
	id     intake.ID
	conn   connlimit.Request
	blocks []*[bodyBlockBytes]byte
	size   int
}

// read receives the whole body. The error is errBodyShed if the body has given way, and
// os.ErrDeadlineExceeded if it has not arrived in time. The budget counts nothing of the
// body after an error; after success it does until release.
func (m *incomingBody) read(r io.Reader) ([]byte, error) {
	for {
		block := m.bodies.grow(m)
		if block == nil {
			return nil, errBodyShed
		}
		filled, err := fill(r, block[:])
		kept := m.bodies.keep(m, block, filled)
		switch {
		case !kept:
			return nil, errBodyShed
		case err == nil:
			continue
		case err != io.EOF:
			m.bodies.fail(m, errors.Is(err, os.ErrDeadlineExceeded))
			return nil, err
		}
		data, ok := m.bodies.complete(m)
		if !ok {
			return nil, errBodyShed
		}
		return data, nil
	}
}

// parts returns the received bytes in their order. They are valid until the blocks are recycled.
func (m *incomingBody) parts() (parts [][]byte) {
	left := m.size
	for _, block := range m.blocks {
		n := min(bodyBlockBytes, left)
		parts = append(parts, block[:n])
		left -= n
	}
	return parts
}

// processingMemory returns the memory, in bytes, that the call takes once its body is complete.
func (m *incomingBody) processingMemory() int64 {
	return processingBytes + processingFactor*int64(m.size) + platform.DecodedBytes(m.parts()...)
}

func (m *incomingBody) release() { m.bodies.release(m) }

// fill reads until the block is full, or until an error; io.EOF means that the body is
// complete. Unlike io.ReadFull it does not hide whether the body was cut off.
func fill(r io.Reader, block []byte) (filled int, err error) {
	for filled < len(block) && err == nil {
		var n int
		n, err = r.Read(block[filled:])
		filled += n
	}
	return filled, err
}
