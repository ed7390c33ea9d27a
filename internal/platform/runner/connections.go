package runner

import (
	"net"
	"net/http"
	"time"
)

// connections are the transports to one runner.
type connections struct {
	// reused serves idempotent requests over kept connections. net/http may
	// repeat such a request on a connection that the runner had closed.
	reused *http.Transport
	// proven serves non-idempotent requests over connections that answered a
	// moment ago. It is nil if only fresh connections are to be used.
	proven *http.Transport
	// fresh dials for every request and closes the connection afterwards.
	// net/http repeats only requests on reused connections, so a request sent
	// through fresh leaves at most once.
	fresh *http.Transport
}

func newConnections(o Options) *connections {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}
	reused := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: o.MaxConnections,
		MaxIdleConnsPerHost: o.MaxIdle, MaxIdleConns: o.MaxIdle, IdleConnTimeout: o.IdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeader,
	}
	fresh := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeader,
	}
	c := &connections{reused: reused, fresh: fresh}
	if o.ProvenFor > 0 {
		c.proven = reused.Clone()
		c.proven.IdleConnTimeout = o.ProvenFor
		c.proven.MaxIdleConns, c.proven.MaxIdleConnsPerHost = o.MaxProven, o.MaxProven
	}
	return c
}

// choose returns the transport for a request. On a reused connection net/http
// sends a request again by itself only if no byte of it has left, or if it
// has no body and one of four methods. Those four never go to proven.
func (c *connections) choose(req *Request) *http.Transport {
	if req.Idempotent {
		return c.reused
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, "":
		return c.fresh
	}
	if c.proven == nil {
		return c.fresh
	}
	return c.proven
}

func (c *connections) close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	if c.proven != nil {
		c.proven.CloseIdleConnections()
	}
}
