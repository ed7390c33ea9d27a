package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// table lists the routes. Callers authenticate with a key, operators with the
// operator token.
func (s *Server) table() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: s.bounded(s.asCaller(s.submit))},
		{Method: http.MethodPost, Path: "/v1/batches", Handler: s.bounded(s.asCaller(s.submitBatch))},
		{Method: http.MethodGet, Path: "/v1/jobs/:id", Handler: s.bounded(s.asCaller(s.status))},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/watch", Handler: s.asCaller(s.watch)},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/explain", Handler: s.bounded(s.asCaller(s.explain))},
		{Method: http.MethodDelete, Path: "/v1/jobs/:id", Handler: s.bounded(s.asCaller(s.cancel))},

		{Method: http.MethodPost, Path: "/v1/publications", Handler: s.bounded(s.asOperator(s.publish))},
		{Method: http.MethodGet, Path: "/v1/objects", Handler: s.bounded(s.asOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/objects/:kind", Handler: s.bounded(s.asOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/objects/:kind/:name", Handler: s.bounded(s.asOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/diff", Handler: s.bounded(s.asOperator(s.diff))},
		{Method: http.MethodGet, Path: "/v1/revisions/:revision", Handler: s.bounded(s.asOperator(s.revision))},
		{Method: http.MethodGet, Path: "/v1/dump", Handler: s.bounded(s.asOperator(s.dump))},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: s.bounded(s.asOperator(s.drain))},

		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
	}
	if s.cfg.Metrics != nil {
		routes = append(routes, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: s.cfg.Metrics.ServeHTTP})
	}
	return routes
}
