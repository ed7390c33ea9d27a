package gateway

import "net/http"

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	state, err := s.backend.Dump(r.Context())
	if err != nil {
		s.failWith(w, r, err)
		return
	}
	s.succeed(w, http.StatusOK, state)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Drain(r.Context()); err != nil {
		s.failWith(w, r, err)
		return
	}
	s.succeed(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{true})
}

// healthz says that the process answers.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	s.succeed(w, http.StatusOK, struct {
		Healthy bool `json:"healthy"`
	}{true})
}

// readyz says whether the load balancer should send traffic here.
func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Ready(r.Context()); err != nil {
		s.fail(w, refusal(CodeNotReady, err.Error()))
		return
	}
	s.succeed(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}
