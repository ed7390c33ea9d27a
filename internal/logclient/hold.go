package logclient

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// HoldAppends promises that no append will be sent for d from its return. An
// append in progress is given up first and sent again later. The error means
// that there is no promise, because the append did not end before ctx.
func (c *Client) HoldAppends(ctx context.Context, d time.Duration) error {
	running := c.hold(d)
	if running != nil {
		running.cancel()
		select {
		case <-running.done:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "log client: an append is still in progress")
		}
	}
	c.hold(d)
	return nil
}

// hold extends the pause to at least d from now and returns the append in
// progress, or nil.
func (c *Client) hold(d time.Duration) *flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	if till := time.Now().Add(d); till.After(c.holdTill) {
		c.holdTill = till
	}
	return c.flight
}
