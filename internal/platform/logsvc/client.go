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

// maxAnswerBytes bounds the body of an answer: a page in base64 with its frame.
const maxAnswerBytes = 2 * (MaxPageBytes + MaxRecordBytes)

// Client is Log over HTTP. It uses net/http and not httpc, whose breaker would
// refuse calls without saying whether they were sent.
type Client struct {
	base string
	opts Options
	http *http.Client
}

// NewClient returns a client of the service at a base URL such as
// "http://127.0.0.1:8700". It does not connect.
func NewClient(base string, opts Options) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, eris.Errorf("log service address %q, want a URL such as http://host:port", base)
	}
	opts = opts.withDefaults()
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:   4,
		MaxConnsPerHost:       8,
		IdleConnTimeout:       30 * time.Second,
		TLSHandshakeTimeout:   opts.DialTimeout,
		ResponseHeaderTimeout: opts.PollWait + opts.ReadTimeout,
	}
	return &Client{base: u.JoinPath("/").String(), opts: opts, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append implements Log. The error is ErrNotAppended if the service said so or
// no connection could be made.
func (c *Client) Append(ctx context.Context, payload []byte) (uint64, error) {
	if len(payload) > MaxRecordBytes {
		return 0, eris.Wrapf(ErrNotAppended, "record has %d bytes, at most %d", len(payload), MaxRecordBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(nil), bytes.NewReader(payload))
	if err != nil {
		return 0, eris.Wrap(ErrNotAppended, err.Error())
	}
	// Without GetBody the transport cannot repeat the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	body, status, err := c.do(req)
	if err != nil {
		if notSent(err) {
			return 0, eris.Wrap(ErrNotAppended, err.Error())
		}
		return 0, eris.Wrap(err, "append to the log")
	}
	var answer AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, eris.Errorf("append to the log: status %d with an unreadable answer", status)
	}
	switch {
	case status == http.StatusOK && answer.Offset > 0:
		return answer.Offset, nil
	case status != http.StatusOK && answer.Appended != nil && !*answer.Appended:
		return 0, eris.Wrapf(ErrNotAppended, "status %d: %s", status, answer.Reason)
	default:
		return 0, eris.Errorf("append to the log: status %d without a clear answer", status)
	}
}

// Read implements Log. The service holds a read without records for PollWait.
func (c *Client) Read(ctx context.Context, from uint64, maxRecords int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PollWait+c.opts.ReadTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(maxRecords)},
		"wait_ms": {strconv.FormatInt(c.opts.PollWait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(query), nil)
	if err != nil {
		return Page{}, eris.Wrap(err, "read the log")
	}
	body, status, err := c.do(req)
	if err != nil {
		return Page{}, eris.Wrap(err, "read the log")
	}
	var answer PageAnswer
	if status != http.StatusOK && status != http.StatusGone {
		return Page{}, eris.Errorf("read the log: status %d", status)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Page{}, eris.Wrap(err, "read the log: decode the page")
	}
	page := Page{Oldest: answer.Oldest, End: answer.End}
	if status == http.StatusGone {
		return page, eris.Wrapf(ErrTrimmed, "offset %d, oldest is %d", from, answer.Oldest)
	}
	for _, r := range answer.Records {
		page.Records = append(page.Records, Record(r))
	}
	return page, nil
}

func (c *Client) url(query url.Values) string {
	u := c.base + PathRecords[1:]
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

func (c *Client) do(req *http.Request) (body []byte, status int, err error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, resp.StatusCode, err
	}
	if len(body) > maxAnswerBytes {
		return nil, resp.StatusCode, fmt.Errorf("answer has more than %d bytes", maxAnswerBytes)
	}
	return body, resp.StatusCode, nil
}

// notSent reports whether an error shows that no connection was made, so that
// no byte of the request left.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
