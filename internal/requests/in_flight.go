package requests

import (
	"context"
	"sync"
)

// inFlightCounter counts the requests in flight. After close it accepts no new
// ones, so that the node can drain.
type inFlightCounter struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{}
}

// tryAdd counts a new request. It returns false after close.
func (c *inFlightCounter) tryAdd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.count++
	return true
}

// add counts background work of a request that is already counted; it succeeds
// also after close.
func (c *inFlightCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

func (c *inFlightCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

func (c *inFlightCounter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// wait blocks until the count is zero or ctx ends, and returns the remaining
// count.
func (c *inFlightCounter) wait(ctx context.Context) int {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return 0
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.count
	}
}
