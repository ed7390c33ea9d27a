package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// routeTable lists the routes. Callers authenticate with a key, operators with
// the operator token.
func (s *Server) routeTable() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: s.withDeadline(s.authenticateCaller(s.submit))},
		{Method: http.MethodPost, Path: "/v1/batches", Handler: s.withDeadline(s.authenticateCaller(s.submitBatch))},
		{Method: http.MethodGet, Path: "/v1/jobs/:id", Handler: s.withDeadline(s.authenticateCaller(s.status))},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/watch", Handler: s.authenticateCaller(s.watch)},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/explain", Handler: s.withDeadline(s.authenticateCaller(s.explain))},
		{Method: http.MethodDelete, Path: "/v1/jobs/:id", Handler: s.withDeadline(s.authenticateCaller(s.cancel))},

		{Method: http.MethodPost, Path: "/v1/publications", Handler: s.withDeadline(s.requireOperator(s.publish))},
		{Method: http.MethodGet, Path: "/v1/objects", Handler: s.withDeadline(s.requireOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/objects/:kind", Handler: s.withDeadline(s.requireOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/objects/:kind/:name", Handler: s.withDeadline(s.requireOperator(s.objects))},
		{Method: http.MethodGet, Path: "/v1/diff", Handler: s.withDeadline(s.requireOperator(s.diff))},
		{Method: http.MethodGet, Path: "/v1/revisions/:revision", Handler: s.withDeadline(s.requireOperator(s.revision))},
		{Method: http.MethodGet, Path: "/v1/dump", Handler: s.withDeadline(s.requireOperator(s.dump))},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: s.withDeadline(s.requireOperator(s.drain))},

		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
	}
	if s.cfg.Metrics != nil {
		routes = append(routes, rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: s.cfg.Metrics.ServeHTTP})
	}
	return routes
}
