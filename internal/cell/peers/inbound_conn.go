package peers

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/intake"
)

// inboundConn is a connection of another node. It counts the messages that have not
// arrived whole.
type inboundConn struct {
	net.Conn
	inbound *Inbound
	// frames is used by Read only, which is not called concurrently.
	frames frames

	mu      sync.Mutex
	streams map[uint32]incomingStream
	closed  bool
	// processing is the number of calls that are being processed.
	processing int
}

// RemoteAddr implements net.Conn.
func (c *inboundConn) RemoteAddr() net.Addr { return inboundAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

// Read implements net.Conn. It fails if a message has been arriving for too long.
func (c *inboundConn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		c.frames.feed(data[:n], c.beginFrame, c.endFrame)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.setDeadline() {
			return n, err
		}
	}
}

// beginFrame counts a frame whose header has arrived.
func (c *inboundConn) beginFrame(f frame) {
	if f.kind != frameData && f.kind != frameHeaders && f.kind != frameContinuation {
		return
	}
	c.mu.Lock()
	s, known := c.streams[f.stream]
	begins := !known && f.kind == frameHeaders && !c.closed
	bytes := int64(f.length) + frameOverheadBytes
	if begins {
		s = incomingStream{id: c.inbound.open(c), since: time.Now()}
		c.streams[f.stream] = s
		bytes += callBytes
	}
	first := begins && len(c.streams) == 1
	c.mu.Unlock()
	if first {
		c.setDeadline()
	}
	if begins || known {
		c.inbound.grow(s.id, bytes)
	}
}

// endFrame ends the counting of a message with its last frame.
func (c *inboundConn) endFrame(f frame) {
	if !f.endsStream() && f.kind != frameReset {
		return
	}
	c.mu.Lock()
	s, known := c.streams[f.stream]
	delete(c.streams, f.stream)
	last := len(c.streams) == 0
	if known && c.processing == 0 && f.endsStream() {
		c.inbound.Connections.Wait(c) // the wait for the next message begins
	}
	c.mu.Unlock()
	if !known {
		return
	}
	c.inbound.end(s.id)
	if last {
		_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection only
	}
}

// SetDeadline implements net.Conn. The gRPC library removes the deadline at the end of
// its handshake, when the first message may have begun to arrive.
func (c *inboundConn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if t.IsZero() {
		c.setDeadline()
	}
	return err
}

// setDeadline sets the deadline of reads by the message that has been arriving for the
// longest time. It returns false if there is none, or if that deadline has passed.
func (c *inboundConn) setDeadline() bool {
	c.mu.Lock()
	var deadline time.Time
	for _, s := range c.streams {
		if end := s.since.Add(c.inbound.timeout); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	c.mu.Unlock()
	if deadline.IsZero() {
		return false
	}
	_ = c.SetReadDeadline(deadline) // fails on a closed connection only
	return time.Now().Before(deadline)
}

// process counts a call that is being processed, with its message, until the returned
// function is called. It returns nil if there is no memory for it.
func (c *inboundConn) process(bytes int) (end func()) {
	id, ok := c.inbound.process(bytes)
	if !ok {
		return nil
	}
	c.mu.Lock()
	if c.processing++; c.processing == 1 {
		c.inbound.Connections.Use(c) // if the connection is closed, only the response is lost
	}
	c.mu.Unlock()
	return func() {
		c.inbound.end(id)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.processing--; c.processing == 0 {
			c.inbound.Connections.Wait(c)
		}
	}
}

// Close implements net.Conn.
func (c *inboundConn) Close() error {
	c.mu.Lock()
	var ids []intake.ID
	for _, s := range c.streams {
		ids = append(ids, s.id)
	}
	clear(c.streams)
	c.closed = true
	c.mu.Unlock()
	c.inbound.end(ids...)
	c.inbound.Connections.Remove(c)
	return c.Conn.Close()
}
