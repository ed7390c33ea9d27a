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
	// PathFaults is the control path for GET and PUT of Faults in JSON.
	PathFaults = "/control/faults"
	// PathActualHosts is the control path for GET and PUT of the hosts, without
	// faults, as a hostlist.HostsResponse in JSON.
	PathActualHosts = "/control/hosts"
	// maxControlBodyBytes limits the size of the body of a control request.
	maxControlBodyBytes = hostlist.MaxHosts << 10
)

func (s *Service) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: hostlist.PathHosts, Handler: s.serveHosts},
		{Method: http.MethodGet, Path: PathFaults, Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, s.Faults())
		}},
		{Method: http.MethodPut, Path: PathFaults, Handler: controlHandler(s.SetFaults)},
		{Method: http.MethodGet, Path: PathActualHosts, Handler: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, hostlist.HostsResponse{Hosts: s.Actual()})
		}},
		{Method: http.MethodPut, Path: PathActualHosts, Handler: controlHandler(func(a hostlist.HostsResponse) { s.Set(a.Hosts) })},
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
	etag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// controlHandler returns a handler that decodes the request body, passes the value
// to set and returns it.
func controlHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
		writeJSON(w, value)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
