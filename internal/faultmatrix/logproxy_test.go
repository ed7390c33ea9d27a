package faultmatrix

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
)

// logProxy is a reverse proxy between one node and the log. While it is
// unavailable it refuses all requests, as the log does during an outage.
type logProxy struct {
	server      *httptest.Server
	unavailable atomic.Bool
}

func newLogProxy(target string) (*logProxy, error) {
	u, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	p := &logProxy{}
	proxy := httputil.NewSingleHostReverseProxy(u)
	// When a response of the log is lost, the connection to the node is aborted as
	// well, so that the node sees the same failure as without the proxy.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if p.unavailable.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = rw.Write([]byte(`{"appended":false}`))
			return
		}
		proxy.ServeHTTP(rw, r)
	}))
	return p, nil
}
