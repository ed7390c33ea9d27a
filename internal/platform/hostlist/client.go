package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// PathHosts is the path of the list: GET answers with HostsAnswer.
	PathHosts = "/v1/hosts"
	// MaxHosts bounds the hosts of one list, ten times the design size.
	MaxHosts = 20_000
	// maxAnswerBytes bounds an answer, with about 1 KiB for each host.
	maxAnswerBytes = MaxHosts << 10
	// defaultTimeout limits one read of the list.
	defaultTimeout = 3 * time.Second
)

// HostsAnswer is the answer of the list.
type HostsAnswer struct {
	Hosts []Host `json:"hosts"`
}

// Client is List over HTTP. It uses net/http and not httpc, which brings a
// breaker.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client

	mu sync.Mutex
	// tag and known are the entity tag and the hosts of the last whole answer.
	tag   string
	known []Host
}

// NewClient returns a client of the list at a base URL such as
// "http://127.0.0.1:8701". Zero timeout stands for 3 s. It does not connect.
func NewClient(base string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, eris.Errorf("host list address %q, want a URL such as http://host:port", base)
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     2,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{url: u.JoinPath(PathHosts).String(), timeout: timeout, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts implements List. Hosts without an id or with an unknown role are left
// out, and of several with one id the first counts. If the list supports entity
// tags, an unchanged list is not transferred again. The caller must not change
// the result.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	tag, known := c.last()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if tag != "" && resp.StatusCode == http.StatusNotModified {
		return known, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("read the host list: status %d", resp.StatusCode)
	}
	var answer HostsAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return nil, eris.Wrap(err, "read the host list: decode the answer")
	}
	if len(answer.Hosts) > MaxHosts {
		return nil, eris.Errorf("host list has %d entries, at most %d", len(answer.Hosts), MaxHosts)
	}
	hosts := usable(answer.Hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.known = resp.Header.Get("ETag"), hosts
	return hosts, nil
}

// last returns the entity tag and the hosts of the last whole answer.
func (c *Client) last() (tag string, known []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.known
}

func usable(hosts []Host) []Host {
	seen := make(map[string]bool, len(hosts))
	kept := hosts[:0]
	for _, h := range hosts {
		if h.ID == "" || seen[h.ID] || (h.Role != RoleWorker && h.Role != RoleRunner) {
			continue
		}
		seen[h.ID] = true
		kept = append(kept, h)
	}
	return kept
}
