package faultmatrix

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// trace tells how far a call of a caller has come.
type trace struct{ connected, wrote, answered atomic.Bool }

// context returns a context whose HTTP requests are traced.
func (t *trace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { t.connected.Store(true) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { t.wrote.Store(true) },
		GotFirstResponseByte: func() { t.answered.Store(true) },
	})
}
