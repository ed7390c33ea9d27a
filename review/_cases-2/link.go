package main

import (
	"net"
	"sync"
)

// link is a proxy on the way to one address. While it is cut, connections stay open and
// carry nothing, and new ones get no answer.
type link struct {
	address, target string

	mu  sync.Mutex
	cut chan struct{} // nil while the link works; closed when it is mended
	all map[net.Conn]bool
}

func newLink(w *world, target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	k := &link{address: l.Addr().String(), target: target, all: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k
}

// carry passes on what a connection carries, unless the link is cut.
func (k *link) carry(c net.Conn) {
	defer c.Close()
	k.wait()
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer t.Close()
	k.mu.Lock()
	k.all[c], k.all[t] = true, true
	k.mu.Unlock()
	go k.copy(t, c)
	k.copy(c, t)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.all, c)
	delete(k.all, t)
}

func (k *link) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		k.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait waits while the link is cut.
func (k *link) wait() {
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (k *link) setCut(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case on && k.cut == nil:
		k.cut = make(chan struct{})
	case !on && k.cut != nil:
		close(k.cut)
		k.cut = nil
		for c := range k.all { // what was held up is lost
			_ = c.Close()
		}
	}
}
