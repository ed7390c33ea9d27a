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
	// ExchangePath is the path, relative to its address, at which an agent
	// serves Exchange.
	ExchangePath = "/v1/exchange"
	// maxResponseBytes limits the size of a response body. A full report of
	// 1,000 tasks is below 300 KiB.
	maxResponseBytes = 4 << 20
	// maxIdlePerAddress is high because many agents can share one address. Per
	// worker the caller has at most one held exchange and one other in progress.
	maxIdlePerAddress = 8192
	dialTimeout       = time.Second
	idleTimeout       = time.Minute
)

// HTTPClient implements Client with JSON over HTTP.
type HTTPClient struct {
	client *httpclient.Client
}

// NewHTTPClient returns a client with its own connection pool.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{client: httpclient.New(httpclient.Options{
		Name:           "worker-agent",
		MaxIdlePerHost: maxIdlePerAddress,
		DialTimeout:    dialTimeout,
		IdleTimeout:    idleTimeout,
	})}
}

// Exchange implements Client. Every error carries a verdict.
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
	// An empty value saves the 32 bytes of the default header in each exchange.
	r.Header.Set("User-Agent", "")
	httpResp, err := c.client.Do(r)
	if err != nil {
		// The connection, and the idle ones to the same address, may never
		// respond again, so the next exchange must open a new one.
		c.client.CloseIdleConnections()
		return resp, err
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode != http.StatusOK {
		return resp, verdict.New(verdict.MayHaveRun, "worker-status", "worker %s responded with status %d", address, httpResp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(&resp); err != nil {
		return resp, verdict.Wrap(eris.Wrapf(err, "decode the response of worker %s", address), verdict.MayHaveRun, "truncated")
	}
	return resp, nil
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }
