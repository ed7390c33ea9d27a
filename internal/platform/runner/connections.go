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
	return &connections{reused: reused, fresh: fresh}
}

func (c *connections) close() {
	c.reused.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
