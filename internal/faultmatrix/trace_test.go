package faultmatrix

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// trace records how far the HTTP call of a caller has progressed.
type trace struct{ connected, wrote, answered atomic.Bool }

// context returns a context whose HTTP requests update the trace.
func (t *trace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { t.connected.Store(true) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { t.wrote.Store(true) },
		GotFirstResponseByte: func() { t.answered.Store(true) },
	})
}
