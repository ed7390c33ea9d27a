package runner

import (
	"net"
	"sync/atomic"
)

// silentConn swallows everything once it is silent, without closing.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	closed func(*silentConn)
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open for its peer.
func (c *silentConn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.drop()
}

func (c *silentConn) drop() error {
	c.closed(c)
	return c.Conn.Close()
}
