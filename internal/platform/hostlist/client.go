package hostlist

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// PathHosts is the path of the host list. GET returns a HostsResponse.
	PathHosts = "/v1/hosts"
	// MaxHosts is the maximum number of hosts in one list, ten times the
	// number that the scheduler is designed for.
	MaxHosts = 20_000
	// maxResponseBytes limits the size of a response body, at 1 KiB per host.
	maxResponseBytes = MaxHosts << 10
	// defaultReadTimeout limits one read of the list, connecting included.
	defaultReadTimeout = 3 * time.Second
)

// HostsResponse is the JSON body of a response to GET PathHosts.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}

// Client implements List over HTTP. It uses net/http instead of httpc because
// httpc adds a circuit breaker.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client

	mu sync.Mutex
	// etag and cachedHosts are the entity tag and the hosts of the last
	// complete response.
	etag        string
	cachedHosts []Host
}

// NewClient returns a client for the host list at a base URL such as
// "http://127.0.0.1:8701". timeout limits one read; a value of zero or below
// means 3 s. NewClient opens no connection. It returns an error if base is not
// an absolute URL.
func NewClient(base string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, eris.Errorf("invalid host list address %q, want a URL such as http://host:port", base)
	}
	if timeout <= 0 {
		timeout = defaultReadTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     2,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{url: u.JoinPath(PathHosts).String(), timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts implements List. It omits entries that cannot be decoded, that have no ID or an
// unknown role, or whose capacity or slots are out of range; of several hosts with the same ID it returns the first. If the server supports
// entity tags, an unchanged list is not transferred again. The caller must not
// modify the result, because it is cached. Hosts returns an error if the server
// does not respond within the timeout, responds with another status than 200
// or 304, or lists more than MaxHosts hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	etag, cachedHosts := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if etag != "" && resp.StatusCode == http.StatusNotModified {
		return cachedHosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read the host list: status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	hosts, err := decodeHosts(body)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.cachedHosts = resp.Header.Get("ETag"), hosts
	return hosts, nil
}

// cached returns the entity tag and the hosts of the last complete response.
func (c *Client) cached() (etag string, hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.cachedHosts
}
