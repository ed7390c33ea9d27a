// Package wire counts the bytes that a stand-in exchanges over its connections.
package wire

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of all connections of a listener, HTTP headers
// included. The zero value is ready for use.
type Traffic struct{ in, out atomic.Uint64 }

// Bytes returns the bytes received and sent so far.
func (t *Traffic) Bytes() (in, out uint64) { return t.in.Load(), t.out.Load() }

// Listen returns a listener whose connections are counted.
func (t *Traffic) Listen(l net.Listener) net.Listener { return listener{l, t} }

type listener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.traffic}, nil
}

type conn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(max(n, 0)))
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(uint64(max(n, 0)))
	return n, err
}
