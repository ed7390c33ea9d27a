package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// DeadlineHeader is the header that says how long the caller waits: a Go
// duration, or a number of milliseconds.
const DeadlineHeader = "Medlar-Deadline"

// maxDeadline caps the deadline that a caller may request.
const maxDeadline = time.Hour

// withDeadline applies the deadline of the request header, or else the default.
// A request with wait=true has a deadline only if its header names one.
func (s *Server) withDeadline(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		timeout, p := s.requestTimeout(r)
		if p != nil {
			s.writeProblem(w, p)
			return
		}
		if timeout > 0 {
			ctx, cancel := context.WithTimeout(r.Context(), timeout)
			defer cancel()
			r = r.WithContext(ctx)
		}
		next(w, r)
	}
}

// requestTimeout returns the timeout of a request; zero means none.
func (s *Server) requestTimeout(r *http.Request) (time.Duration, *Problem) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		if r.URL.Query().Get("wait") == "true" {
			return 0, nil
		}
		return s.cfg.DefaultDeadline, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		var millis uint64
		if millis, err = strconv.ParseUint(text, 10, 32); err == nil {
			d = time.Duration(millis) * time.Millisecond
		}
	}
	if err != nil || d <= 0 {
		return 0, invalidField(DeadlineHeader, text, "a duration such as 1.5s, or milliseconds, above zero")
	}
	return min(d, maxDeadline), nil
}
