package gateway

import "net/http"

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	state, err := s.backend.Dump(r.Context())
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusOK, state)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Drain(r.Context()); err != nil {
		s.writeError(w, r, err)
		return
	}
	s.writeSuccess(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{true})
}

// healthz reports that the process responds.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	s.writeSuccess(w, http.StatusOK, struct {
		Healthy bool `json:"healthy"`
	}{true})
}

// readyz reports whether the load balancer should send traffic to this process.
func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Ready(r.Context()); err != nil {
		s.writeProblem(w, refusal(CodeNotReady, err.Error()))
		return
	}
	s.writeSuccess(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}
