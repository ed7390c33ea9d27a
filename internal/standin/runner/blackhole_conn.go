package runner

import (
	"net"
	"sync/atomic"
)

// blackholeConn is a connection that, once blackholed is set, discards everything
// that is received or written and stays open.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
	onClose    func(*blackholeConn)
}

// Read implements net.Conn. A blackholed connection returns only errors.
func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A blackholed connection discards p and reports
// success.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A blackholed connection stays open, so that its peer
// does not notice.
func (c *blackholeConn) Close() error {
	if c.blackholed.Load() {
		return nil
	}
	return c.forceClose()
}

// forceClose closes the connection even if it is blackholed.
func (c *blackholeConn) forceClose() error {
	c.onClose(c)
	return c.Conn.Close()
}
