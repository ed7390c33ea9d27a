// Package wire owns the HTTP server of the simulated services and counts the bytes
// on their connections. It must add no fault of its own, such as a rejected call
// or a rewritten response.
package wire

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on all connections of a listener, HTTP headers
// included. The zero value is ready for use.
type Traffic struct{ in, out atomic.Uint64 }

// Bytes returns the number of bytes received and sent so far.
func (t *Traffic) Bytes() (in, out uint64) { return t.in.Load(), t.out.Load() }

// Listen returns a listener that counts the bytes on the connections of l.
func (t *Traffic) Listen(l net.Listener) net.Listener { return countingListener{l, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener. It returns a counting connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn and counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(max(n, 0)))
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(uint64(max(n, 0)))
	return n, err
}
