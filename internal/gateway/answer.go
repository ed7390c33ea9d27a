package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Response is the body of every response except that of a watch. The verdict says
// whether the requested operation took effect.
type Response struct {
	Verdict verdict.Verdict `json:"verdict"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *Problem        `json:"error,omitempty"`
}

func (s *Server) writeSuccess(w http.ResponseWriter, status int, result any) {
	s.writeResult(w, status, verdict.DidRun, result)
}

func (s *Server) writeResult(w http.ResponseWriter, status int, v verdict.Verdict, result any) {
	data, err := json.Marshal(result)
	if err != nil {
		s.log.Error("Encoding the result as JSON failed.", "error", err)
		s.writeProblem(w, &Problem{Verdict: v, Code: CodeInternal, Message: "the result cannot be encoded as JSON"})
		return
	}
	s.writeBody(w, status, Response{Verdict: v, Result: data})
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	p := problemOf(err)
	if p.Code == CodeInternal {
		s.log.Error("Operation failed.", "path", r.URL.Path, "error", err)
	}
	s.writeProblem(w, p)
}

func (s *Server) writeProblem(w http.ResponseWriter, p *Problem) {
	if p.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((p.RetryAfterMillis+999)/1000, 10))
	}
	if p.Code == CodeUnauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	s.writeBody(w, HTTPStatusOf(p.Code, p.Verdict), Response{Verdict: p.Verdict, Error: p})
}

func (s *Server) writeBody(w http.ResponseWriter, status int, resp Response) {
	data, err := json.Marshal(resp)
	if err != nil {
		s.log.Error("Encoding the response as JSON failed.", "error", err)
		status, data = http.StatusInternalServerError, []byte(`{"verdict":"may-have-run"}`)
		resp.Verdict = verdict.MayHaveRun
	}
	h := w.Header()
	h.Set(verdict.Header, resp.Verdict.String())
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	if _, err := w.Write(append(data, '\n')); err != nil {
		s.log.Debug("Writing the response failed.", "error", err)
	}
}
