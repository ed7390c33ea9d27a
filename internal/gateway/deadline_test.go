package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against an operation that blocks its caller without a time limit, and
// against ignoring the caller's deadline.
func TestDeadlineOfOperations(t *testing.T) {
	b := &fakeBackend{wait: make(chan time.Time)}
	for _, c := range []struct {
		name, header, query string
		fallback            time.Duration
		status              int
	}{
		{"default", "", "", time.Millisecond, 504},
		{"of the caller", "5ms", "", time.Hour, 504},
		{"in milliseconds", "5", "", time.Hour, 504},
		{"of a caller that waits", "5ms", "?wait=true", time.Hour, 504},
		{"zero", "0s", "", time.Hour, 400},
		{"no duration", "soon", "", time.Hour, 400},
	} {
		s := newServer(t, b, func(cfg *Config) { cfg.DefaultDeadline = c.fallback })
		r := httptest.NewRequest("POST", "/v1/jobs"+c.query, strings.NewReader(validJob))
		r.Header.Set("Authorization", "Bearer good")
		if c.header != "" {
			r.Header.Set(DeadlineHeader, c.header)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("%s: status %d, want %d: %s", c.name, w.Code, c.status, w.Body)
		}
	}
}
