package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// HeaderDeadline is how long the caller waits: a Go duration or milliseconds.
const HeaderDeadline = "Medlar-Deadline"

// maxDeadline bounds the deadline that a caller may name.
const maxDeadline = time.Hour

// bounded gives an operation the deadline of its header, or else the default.
// An operation that waits for work has only the deadline that it names.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		within, p := s.deadlineOf(r)
		if p != nil {
			s.fail(w, p)
			return
		}
		if within > 0 {
			ctx, cancel := context.WithTimeout(r.Context(), within)
			defer cancel()
			r = r.WithContext(ctx)
		}
		next(w, r)
	}
}

// deadlineOf returns the time for a request; zero means no bound.
func (s *Server) deadlineOf(r *http.Request) (time.Duration, *Problem) {
	text := r.Header.Get(HeaderDeadline)
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
		return 0, badField(HeaderDeadline, text, "a duration such as 1.5s, or milliseconds, above zero")
	}
	return min(d, maxDeadline), nil
}
