package faultmatrix

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
)

// gate is a proxy before the log for one node. It refuses everything while it
// is closed, as the log does while it is away.
type gate struct {
	server *httptest.Server
	closed atomic.Bool
}

func newGate(target string) (*gate, error) {
	u, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	g := &gate{}
	proxy := httputil.NewSingleHostReverseProxy(u)
	// A lost answer of the log ends the connection to the node as well.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	g.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			_, _ = rw.Write([]byte(`{"appended":false}`))
			return
		}
		proxy.ServeHTTP(rw, r)
	}))
	return g, nil
}
