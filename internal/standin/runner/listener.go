package runner

import (
	"net"
	"sync"
)

// trackingListener keeps track of its open connections.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*blackholeConn]bool
}

// Accept implements net.Listener. It returns a *blackholeConn.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &blackholeConn{Conn: c, onClose: l.remove}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[s] = true
	return s, nil
}

func (l *trackingListener) remove(c *blackholeConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// forEach calls f for each open connection, without holding the lock.
func (l *trackingListener) forEach(f func(*blackholeConn)) {
	l.mu.Lock()
	conns := make([]*blackholeConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}
