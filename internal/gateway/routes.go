package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// table lists the routes. Callers authenticate with a key, operators with the
// operator token.
func (s *Server) table() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: s.asCaller(s.submit)},
		{Method: http.MethodPost, Path: "/v1/batches", Handler: s.asCaller(s.submitBatch)},
		{Method: http.MethodGet, Path: "/v1/jobs/:id", Handler: s.asCaller(s.status)},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/watch", Handler: s.asCaller(s.watch)},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/explain", Handler: s.asCaller(s.explain)},
		{Method: http.MethodDelete, Path: "/v1/jobs/:id", Handler: s.asCaller(s.cancel)},

		{Method: http.MethodPost, Path: "/v1/publications", Handler: s.asOperator(s.publish)},
		{Method: http.MethodGet, Path: "/v1/objects", Handler: s.asOperator(s.objects)},
		{Method: http.MethodGet, Path: "/v1/objects/:kind", Handler: s.asOperator(s.objects)},
		{Method: http.MethodGet, Path: "/v1/objects/:kind/:name", Handler: s.asOperator(s.objects)},
		{Method: http.MethodGet, Path: "/v1/diff", Handler: s.asOperator(s.diff)},
		{Method: http.MethodGet, Path: "/v1/revisions/:revision", Handler: s.asOperator(s.revision)},
		{Method: http.MethodGet, Path: "/v1/dump", Handler: s.asOperator(s.dump)},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: s.asOperator(s.drain)},

		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
	}
	if s.cfg.Metrics != nil {
		routes = append(routes, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: s.cfg.Metrics.ServeHTTP})
	}
	return routes
}
