package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// maxResponseBytes limits the size of a response body: a page whose payloads
// are encoded in base64, with the JSON around them.
const maxResponseBytes = 2 * (MaxPageBytes + MaxRecordBytes)

// Client implements Log over HTTP. It uses net/http instead of httpc, because the
// circuit breaker of httpc rejects calls without reporting whether they were sent.
type Client struct {
	baseURL string
	opts    Options
	http    *http.Client
}

// NewClient returns a client for the log service at a base URL such as
// "http://127.0.0.1:8700". It opens no connection. It returns an error if base
// is not an absolute URL.
func NewClient(base string, opts Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, eris.Errorf("invalid log service address %q, want a URL such as http://host:port", base)
	}
	opts = opts.withDefaults()
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:   4,
		MaxConnsPerHost:       8,
		IdleConnTimeout:       30 * time.Second,
		TLSHandshakeTimeout:   opts.DialTimeout,
		ResponseHeaderTimeout: opts.LongPollTimeout + opts.ReadTimeout,
	}
	return &Client{baseURL: u.JoinPath("/").String(), opts: opts, http: &http.Client{Transport: transport}}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log. The error is ErrNotAppended if the payload is larger
// than MaxRecordBytes, the service reports that it did not append the record, or
// no connection could be opened.
func (c *Client) Append(ctx context.Context, payload []byte) (uint64, error) {
	if len(payload) > MaxRecordBytes {
		return 0, eris.Wrapf(ErrNotAppended, "record has %d bytes, at most %d", len(payload), MaxRecordBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(nil), bytes.NewReader(payload))
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	body, status, err := c.do(req)
	if err != nil {
		if isDialError(err) {
			return 0, eris.Wrap(ErrNotAppended, err.Error())
		}
		return 0, eris.Wrap(err, "append to the log")
	}
	var response AppendResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, eris.Errorf("append to the log: cannot decode the response with status %d", status)
	}
	switch {
	case status == http.StatusOK && response.Offset > 0:
		return response.Offset, nil
	case status != http.StatusOK && response.Appended != nil && !*response.Appended:
		return 0, eris.Wrapf(ErrNotAppended, "status %d: %s", status, response.Reason)
	default:
		return 0, eris.Errorf("append to the log: response with status %d does not say whether the record was appended", status)
	}
}

// Read implements Log. If there are no records, the service holds the read for
// LongPollTimeout.
func (c *Client) Read(ctx context.Context, from uint64, maxRecords int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.LongPollTimeout+c.opts.ReadTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(maxRecords)},
		"wait_ms": {strconv.FormatInt(c.opts.LongPollTimeout.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(query), nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "read the log")
	}
	body, status, err := c.do(req)
	if err != nil {
		return Page{}, eris.Wrap(err, "read the log")
	}
	var response PageResponse
	if status != http.StatusOK && status != http.StatusGone {
		return Page{}, eris.Errorf("read the log: status %d", status)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return Page{}, eris.Wrap(err, "read the log: decode the page")
	}
	page := Page{Oldest: response.Oldest, End: response.End}
	if status == http.StatusGone {
		return page, eris.Wrapf(ErrTrimmed, "offset %d, oldest is %d", from, response.Oldest)
	}
	for _, r := range response.Records {
		page.Records = append(page.Records, Record(r))
	}
	return page, nil
}

func (c *Client) recordsURL(query url.Values) string {
	u := c.baseURL + PathRecords[1:]
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// do sends a request and returns the body and the status of the response.
func (c *Client) do(req *http.Request) (body []byte, status int, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, resp.StatusCode, err
	}
	if len(body) > maxResponseBytes {
		return nil, resp.StatusCode, fmt.Errorf("response body is larger than %d bytes", maxResponseBytes)
	}
	return body, resp.StatusCode, nil
}

// isDialError reports whether err occurred while a connection was being opened,
// so that no byte of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
