package requests

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// requestBody is the body of a caller beyond the buffer. It ends with an
// error if it is larger than the limit or breaks off.
type requestBody struct {
	from    io.Reader
	left    int64
	touched atomic.Bool
	failed  atomic.Pointer[verdict.Error]
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		e := verdict.New(verdict.MayHaveRun, CodeBodyTooBig, "the body is larger than allowed")
		b.failed.Store(e)
		return 0, e
	}
	if err != nil && err != io.EOF {
		e := verdict.Wrap(err, verdict.MayHaveRun, CodeBodyBroken)
		b.failed.Store(e)
		return n, e
	}
	return n, err
}

// readBody reads the body into the buffer, as far as it fits. It happens
// before the request takes a slot, so that a slow sender holds none.
func (s *Server) readBody(r *http.Request, c *call) (*requestBody, error) {
	c.size = r.ContentLength
	if c.size == 0 || r.Body == nil || r.Body == http.NoBody {
		c.size = 0
		return nil, nil
	}
	if c.size > s.options.MaxBody {
		return nil, bad(CodeBodyTooBig, "the body is %d bytes, at most %d are allowed", c.size, s.options.MaxBody)
	}
	limit := int64(s.options.Buffer)
	if c.size > 0 {
		limit = min(limit, c.size)
	}
	if s.buffered.Add(limit) > s.options.BufferTotal {
		s.buffered.Add(-limit)
		return nil, tooBusy()
	}
	c.buffer = limit
	buf := bytes.NewBuffer(make([]byte, 0, min(limit, 4<<10)))
	n, err := io.CopyN(buf, r.Body, limit)
	c.body = buf.Bytes()
	switch {
	case errors.Is(err, io.EOF) && c.size < 0:
		c.size = n
		return nil, nil
	case err != nil:
		return nil, verdict.Wrap(err, verdict.DidNotRun, CodeBodyBroken)
	case n == c.size:
		return nil, nil
	}
	c.stream = true
	return &requestBody{from: r.Body, left: s.options.MaxBody - n}, nil
}

func tooBusy() error {
	e := verdict.New(verdict.DidNotRun, CodeBuffers, "the buffers for bodies are full")
	e.RetryAfterMillis = 1000
	return e
}

// reader returns the body for one attempt.
func (c *call) reader(rest *requestBody) io.Reader {
	if rest == nil {
		return bytes.NewReader(c.body)
	}
	return io.MultiReader(bytes.NewReader(c.body), rest)
}
