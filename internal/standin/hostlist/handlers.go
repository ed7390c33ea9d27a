package hostlist

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/rest"

	"github.com/medlarpulley/medlarpulley/internal/platform/hostlist"
)

const (
	// PathFaults is a control path: GET and PUT Faults in JSON.
	PathFaults = "/control/faults"
	// PathActual is a control path: GET and PUT the actual hosts in JSON.
	PathActual = "/control/hosts"
	// maxControlBytes bounds the body of a control call.
	maxControlBytes = hostlist.MaxHosts << 10
)

func (s *Service) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: hostlist.PathHosts, Handler: s.serveHosts},
		{Method: http.MethodGet, Path: PathFaults, Handler: func(w http.ResponseWriter, _ *http.Request) {
			answer(w, s.Faults())
		}},
		{Method: http.MethodPut, Path: PathFaults, Handler: control(s.SetFaults)},
		{Method: http.MethodGet, Path: PathActual, Handler: func(w http.ResponseWriter, _ *http.Request) {
			answer(w, hostlist.HostsResponse{Hosts: s.Actual()})
		}},
		{Method: http.MethodPut, Path: PathActual, Handler: control(func(a hostlist.HostsResponse) { s.Set(a.Hosts) })},
	}
}

func (s *Service) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(hostlist.HostsResponse{Hosts: hosts})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// control returns a handler that decodes its body for set.
func control[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		answer(w, value)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
