package runner

import (
	"net"
	"sync"
)

// listener knows its open connections.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silentConn{Conn: c, closed: l.remove}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[s] = true
	return s, nil
}

func (l *listener) remove(c *silentConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) each(f func(*silentConn)) {
	l.mu.Lock()
	conns := make([]*silentConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}
