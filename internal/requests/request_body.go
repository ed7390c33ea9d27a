package requests

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// requestBody reads the part of a request body beyond the buffer. Read fails if
// the body is larger than MaxBody or the caller stops sending.
type requestBody struct {
	source      io.Reader
	remaining   int64
	readStarted atomic.Bool
	failure     atomic.Pointer[verdict.Error]
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		e := verdict.New(verdict.MayHaveRun, CodeBodyTooBig, "the body is larger than allowed")
		b.failure.Store(e)
		return 0, e
	}
	if err != nil && err != io.EOF {
		e := verdict.Wrap(err, verdict.MayHaveRun, CodeBodyBroken)
		b.failure.Store(e)
		return n, e
	}
	return n, err
}

// readBody reads the body into the buffer as far as it fits and returns a reader
// for the remainder, or nil. It runs before the request acquires a slot, so that
// a slow sender does not occupy one.
func (s *Server) readBody(r *http.Request, c *call) (*requestBody, error) {
	c.size = r.ContentLength
	if c.size == 0 || r.Body == nil || r.Body == http.NoBody {
		c.size = 0
		return nil, nil
	}
	if c.size > s.options.MaxBody {
		return nil, rejection(CodeBodyTooBig, "the body is %d bytes, at most %d are allowed", c.size, s.options.MaxBody)
	}
	limit := int64(s.options.BufferBytes)
	if c.size > 0 {
		limit = min(limit, c.size)
	}
	if s.bufferedBytes.Add(limit) > s.options.MaxBufferedBytes {
		s.bufferedBytes.Add(-limit)
		return nil, buffersFull()
	}
	c.bufferedBytes = limit
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
	c.streamed = true
	return &requestBody{source: r.Body, remaining: s.options.MaxBody - n}, nil
}

func buffersFull() error {
	e := verdict.New(verdict.DidNotRun, CodeBuffersFull, "the buffers for request bodies are full")
	e.RetryAfterMillis = 1000
	return e
}

// reader returns the body for one attempt.
func (c *call) reader(remainder *requestBody) io.Reader {
	if remainder == nil {
		return bytes.NewReader(c.body)
	}
	return io.MultiReader(bytes.NewReader(c.body), remainder)
}
