package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
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
	return &Client{u.JoinPath(PathHosts).String(), timeout, &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts implements List. Hosts without an id or with an unknown role are left
// out, and of several with one id the first counts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "read the host list")
	}
	defer func() { _ = resp.Body.Close() }()
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
	return usable(answer.Hosts), nil
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
