package gateway

import (
	"net"
	"net/http"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// operatorPaths are what the listener of the operators' network serves.
var operatorPaths = []string{"/metrics", "/v1/dump", "/healthz", "/readyz"}

// ServeOperators answers on the listener of the operators' network until
// Shutdown or Close. It returns nil then.
func (s *Server) ServeOperators(l net.Listener) error { return s.serve(&s.operators, l) }

// serveOperators passes on the paths of the operators' network alone.
func (s *Server) serveOperators(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
	if !slices.Contains(operatorPaths, r.URL.Path) {
		s.notFound(w, r)
		return
	}
	s.routes.Serve(w, r)
}
