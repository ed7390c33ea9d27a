// Package apiclient is the HTTP client for callers and operators. It takes the
// addresses of several entry nodes. It must never repeat a change at the next
// entry unless the verdict of the last attempt makes that safe.
package apiclient

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Options configure a Client.
type Options struct {
	// Entries are the base URLs of entry nodes, such as "http://127.0.0.1:8080".
	Entries []string
	// Key is the key of a team, or the operator token; empty for none.
	Key string
	// HTTP sends the requests; if nil, go-zero's httpc without a circuit breaker
	// does.
	HTTP *http.Client
	// RoundRobin starts successive operations at successive entries (round robin).
	RoundRobin bool
}

// Client calls the API of entry nodes. It is safe for concurrent use.
type Client struct {
	options Options
	do      func(*http.Request) (*http.Response, error)
	// noKeepAlive uses each connection for one request only, so that it never
	// retries a request by itself.
	noKeepAlive *http.Client
	nextEntry   atomic.Uint64
}

// MaxEntries is the largest number of entry addresses of a client.
const MaxEntries = 64

// New returns a client. It fails if there are no entries, more than MaxEntries,
// or one that is not an HTTP address.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 || len(o.Entries) > MaxEntries {
		return nil, eris.Errorf("want 1 to %d entry addresses, got %d", MaxEntries, len(o.Entries))
	}
	entries := make([]string, len(o.Entries))
	for i, e := range o.Entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		u, err := url.Parse(e)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, eris.Errorf("entry %q is not an address such as http://127.0.0.1:8080", o.Entries[i])
		}
		entries[i] = strings.TrimRight(e, "/")
	}
	o.Entries = entries
	c := &Client{options: o, do: httpc.DoRequest, noKeepAlive: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if o.HTTP != nil {
		c.do = o.HTTP.Do
	}
	return c, nil
}

// entryOrder returns the entries in the order in which an operation tries them.
func (c *Client) entryOrder() []string {
	entries := c.options.Entries
	if !c.options.RoundRobin {
		return entries
	}
	first := int((c.nextEntry.Add(1) - 1) % uint64(len(entries)))
	return append(append([]string(nil), entries[first:]...), entries[:first]...)
}
