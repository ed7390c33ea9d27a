package connlimit

import (
	"context"
	"net"
	"time"
)

type requestKey struct{}

// Request is the connection on which an HTTP request arrived. The zero value belongs to
// no limiter. It sets deadlines on the connection itself: the response writer that
// go-zero passes to handlers does not support http.ResponseController.
type Request struct {
	limiter *Limiter
	conn    net.Conn
}

// OfRequest returns the connection of a request from its context.
func OfRequest(ctx context.Context) Request {
	r, _ := ctx.Value(requestKey{}).(Request)
	return r
}

// Use says that the request is complete and being processed. It returns false if the
// connection has been closed.
func (r Request) Use() bool { return r.limiter == nil || r.limiter.Use(r.conn) }

// Wait says that the request has been processed.
func (r Request) Wait() {
	if r.limiter != nil {
		r.limiter.Wait(r.conn)
	}
}

// SetReadDeadline sets the deadline of the reads of the request's body.
func (r Request) SetReadDeadline(t time.Time) {
	if r.conn != nil {
		_ = r.conn.SetReadDeadline(t) // fails on a closed connection only
	}
}

// SetWriteDeadline sets the deadline of the writes of the response.
func (r Request) SetWriteDeadline(t time.Time) {
	if r.conn != nil {
		_ = r.conn.SetWriteDeadline(t) // fails on a closed connection only
	}
}
