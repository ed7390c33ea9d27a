package requests

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn returns the headers without those of the connection and without
// Medlar headers, which only the entry node and the runner set.
func passedOn(h http.Header) http.Header {
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
