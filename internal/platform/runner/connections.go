package runner

import (
	"net"
	"net/http"
	"time"
)

// connections holds the HTTP transports to one runner.
type connections struct {
	// pooled sends idempotent requests over keep-alive connections. net/http may
	// resend such a request if the runner had closed the connection.
	pooled *http.Transport
	// recent sends non-idempotent requests over connections that carried a
	// response within NonIdempotentReuseWindow. It is nil if non-idempotent
	// requests must use new connections only.
	recent *http.Transport
	// fresh opens a connection for every request and closes it afterwards.
	// net/http resends requests only on reused connections, so a request sent
	// through fresh is sent at most once.
	fresh *http.Transport
}

func newConnections(o Options) *connections {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxIdleConnections, MaxIdleConns: o.MaxIdleConnections, IdleConnTimeout: o.IdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	fresh := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	c := &connections{pooled: pooled, fresh: fresh}
	if o.NonIdempotentReuseWindow > 0 {
		c.recent = pooled.Clone()
		c.recent.IdleConnTimeout = o.NonIdempotentReuseWindow
		c.recent.MaxIdleConns, c.recent.MaxIdleConnsPerHost = o.MaxIdleNonIdempotent, o.MaxIdleNonIdempotent
	}
	return c
}

// transportFor returns the transport for a request. On a reused connection
// net/http resends a request by itself only if no byte of it was sent, or if it
// has no body and its method is GET, HEAD, OPTIONS or TRACE. Non-idempotent
// requests with one of these four methods therefore never use recent.
func (c *connections) transportFor(req *Request) *http.Transport {
	if req.Idempotent {
		return c.pooled
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return c.fresh
	}
	if c.recent == nil {
		return c.fresh
	}
	return c.recent
}

// close closes the idle connections of all transports.
func (c *connections) close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	if c.recent != nil {
		c.recent.CloseIdleConnections()
	}
}
