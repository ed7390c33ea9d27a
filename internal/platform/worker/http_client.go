package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/platform/httpclient"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const (
	// ExchangePath is where an agent serves Exchange, below its address.
	ExchangePath = "/v1/exchange"
	// maxResponseBytes bounds an answer. A full report of 1,000 tasks is
	// below 300 KiB.
	maxResponseBytes = 4 << 20
	// idlePerAddress is high because many agents can share one address. The
	// caller has at most one held exchange and one other open with each worker.
	idlePerAddress = 8192
	dialTimeout    = time.Second
	idleTimeout    = time.Minute
)

// HTTPClient is a Client that speaks JSON over HTTP.
type HTTPClient struct {
	client *httpclient.Client
}

// NewHTTPClient returns a client with its own connections.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{client: httpclient.New(httpclient.Options{
		Name:        "worker-agent",
		IdlePerHost: idlePerAddress,
		DialTimeout: dialTimeout,
		IdleTimeout: idleTimeout,
	})}
}

// Exchange implements Client.
func (c *HTTPClient) Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeResponse, error) {
	var resp ExchangeResponse
	body, err := json.Marshal(req)
	if err != nil {
		return resp, verdict.Wrap(err, verdict.DidNotRun, "encode")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ExchangePath, bytes.NewReader(body))
	if err != nil {
		return resp, verdict.Wrap(err, verdict.DidNotRun, "bad-address")
	}
	r.Header.Set("Content-Type", "application/json")
	// An empty value keeps the default header of 32 bytes out of each exchange.
	r.Header.Set("User-Agent", "")
	answer, err := c.client.Do(r)
	if err != nil {
		// The connection may be silent for good, and unused ones to the same
		// address with it, so the next exchange opens a fresh one.
		c.client.CloseIdle()
		return resp, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return resp, verdict.New(verdict.MayHaveRun, "worker-status", "worker %s answered with status %d", address, answer.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(&resp); err != nil {
		return resp, verdict.Wrap(eris.Wrapf(err, "decode answer of worker %s", address), verdict.MayHaveRun, "truncated")
	}
	return resp, nil
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdle() }
