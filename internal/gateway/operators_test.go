package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against a listener in the operators' network that does not serve the
// operator paths, or that also serves the paths for callers.
func TestOperatorsListener(t *testing.T) {
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "metrics") })
	s := newServer(t, &fakeBackend{}, func(c *Config) { c.Metrics = metrics })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.ServeOperators(l) }()
	for path, want := range map[string]int{
		"/metrics": 200, "/healthz": 200, "/readyz": 200, "/v1/dump": 200, "/v1/objects": 404, "/v1/jobs/j-1": 404,
	} {
		for _, token := range []string{"op", ""} {
			r, _ := http.NewRequest("GET", "http://"+l.Addr().String()+path, nil)
			if token != "" {
				r.Header.Set("Authorization", "Bearer "+token)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			expect := want
			if token == "" && path == "/v1/dump" {
				expect = 401
			}
			if resp.StatusCode != expect {
				t.Errorf("%s with token %q: status %d, want %d", path, token, resp.StatusCode, expect)
			}
		}
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
