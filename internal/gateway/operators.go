package gateway

import (
	"net"
	"net/http"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// operatorPaths lists the paths served on the operators' network.
var operatorPaths = []string{"/metrics", "/v1/dump", "/healthz", "/readyz"}

// ServeOperators serves operatorPaths on a listener in the operators' network.
// It returns nil after Shutdown or Close.
func (s *Server) ServeOperators(l net.Listener) error { return s.serveListener(&s.operatorServer, l) }

// handleOperatorRequest forwards requests for operatorPaths to the router, and
// answers not-found to all others.
func (s *Server) handleOperatorRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
	if !slices.Contains(operatorPaths, r.URL.Path) {
		s.notFound(w, r)
		return
	}
	s.routes.Serve(w, r)
}
