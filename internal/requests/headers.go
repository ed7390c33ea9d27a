package requests

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns the headers to forward: all but the hop-by-hop headers
// and the Medlar headers, which only the entry node and the runner set.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, "Medlar-") {
			out[name] = values
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
