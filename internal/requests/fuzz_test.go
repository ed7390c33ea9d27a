package requests

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// Guards against paths that escape the upstream's prefix or split the request line.
func FuzzDecodePath(f *testing.F) {
	for _, s := range []string{"/v1/upstreams/u/a?b=c", "/v1/upstreams/u/%2e%2e/x", "/v1/upstreams/u", "/v1/upstreams/u//..%5c", "/v1/upstreams/u/x?a%0d%0a"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		u, err := url.ParseRequestURI(s)
		if err != nil {
			return
		}
		upstream, uri, err := decodePath(u)
		if err != nil {
			return
		}
		if !upstreamNamePattern.MatchString(upstream) || !strings.HasPrefix(uri, "/") || strings.ContainsAny(uri, " \r\n\x00") {
			t.Fatalf("%q gives %q and %q", s, upstream, uri)
		}
		back, err := url.Parse("http://127.0.0.1:1" + uri)
		if err != nil || back.Host != "127.0.0.1:1" || strings.Contains(back.Path, "/../") {
			t.Fatalf("%q gives %q, which reads as %v %v", s, uri, back, err)
		}
	})
}

// Guards against a deadline out of bounds, for example after an overflow.
func FuzzDecodeDeadline(f *testing.F) {
	for _, s := range []string{"1s", "250", "9223372036854775807", "-1", "1e9h", "0", "1.5ms", "-9223372036854775808"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if d, err := decodeDeadline(s, time.Minute); err == nil && (d <= 0 || d > time.Minute) {
			t.Fatalf("%q gives %v", s, d)
		}
	})
}

// Guards against headers that make the decoder panic, or that let a request pass
// without a required id or with an invalid deadline, and against the forwarding of
// hop-by-hop headers and of a caller's own team header.
func FuzzDecodeHeader(f *testing.F) {
	f.Add("POST", "id", "false", "1s", "urgent", "close")
	f.Add("GET", "", "", "", "", "Medlar-Team, X")
	f.Fuzz(func(t *testing.T, method, id, idempotent, deadline, class, connection string) {
		h := http.Header{"Connection": {connection}, "Medlar-Team": {"other"}, "Te": {"x"}}
		for name, v := range map[string]string{HeaderID: id, HeaderIdempotent: idempotent, HeaderDeadline: deadline, HeaderClass: class} {
			if v != "" {
				h.Set(name, v)
			}
		}
		c := &call{method: method}
		if c.decodeHeader(h, DefaultOptions()) == nil {
			if c.id == "" && !c.idempotent {
				t.Fatal("a non-idempotent request without an id was accepted")
			}
			if c.deadline <= 0 || c.deadline > DefaultOptions().Router.MaxRequestTime {
				t.Fatalf("deadline %v", c.deadline)
			}
		}
		if out := forwardedHeader(h); out.Get(HeaderTeam) != "" || out.Get("Te") != "" || out.Get("Connection") != "" {
			t.Fatalf("forwarded %v", out)
		}
	})
}
