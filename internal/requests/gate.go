package requests

import (
	"context"
	"sync"
)

// gate counts the requests in flight and closes for a drain.
type gate struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

// enter counts a request; it returns false once the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

// add counts work that belongs to a request that has entered.
func (g *gate) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// wait returns the number of requests that were left when ctx ended.
func (g *gate) wait(ctx context.Context) int {
	g.mu.Lock()
	if g.n == 0 {
		g.mu.Unlock()
		return 0
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.n
	}
}
