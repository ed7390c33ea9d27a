package requests

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const copyBufferBytes = 32 << 10

// writeHead writes the status and the headers of a response.
func (x *servedRequest) writeHead(rep *reply) {
	h := x.w.Header()
	for name, values := range rep.header {
		h[name] = values
	}
	h.Set(verdict.Header, rep.verdict.String())
	h.Set(HeaderID, x.call.id)
	switch {
	case rep.status == http.StatusNoContent || rep.status == http.StatusNotModified:
	case x.call.method == http.MethodHead && rep.size < 0:
	case x.call.method != http.MethodHead && rep.remainder == nil:
		h.Set("Content-Length", strconv.Itoa(len(rep.body)))
	case rep.size >= 0:
		h.Set("Content-Length", strconv.FormatInt(rep.size, 10))
	}
	x.w.WriteHeader(rep.status)
}

// writeBuffered writes a response whose body was read completely.
func (x *servedRequest) writeBuffered(rep *reply) {
	x.writeHead(rep)
	x.server.metrics.countEnd(CodeResponseForwarded)
	// The caller may have disconnected; the outcome of the request is the same.
	_, _ = x.w.Write(rep.body)
}

// writeStreamed forwards a response that is larger than the buffer and releases
// the slot. It returns false if the response was not forwarded completely; then
// the caller of writeStreamed must abort the connection.
func (x *servedRequest) writeStreamed(sl *slot, rep *reply) (complete bool) {
	defer rep.remainder.Close()
	x.writeHead(rep)
	_, writeErr := x.w.Write(rep.body)
	buf := make([]byte, copyBufferBytes)
	control := http.NewResponseController(x.w)
	// A caller that reads too slowly must not keep the slot indefinitely.
	_ = control.SetWriteDeadline(time.Now().Add(x.call.deadline))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		n, err := rep.remainder.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = x.w.Write(buf[:n])
			if rep.size < 0 && writeErr == nil {
				writeErr = control.Flush()
			}
		}
		now := x.server.clock.Now()
		switch {
		case err == io.EOF:
			sl.release(now, rep.result())
			x.server.metrics.countEnd(CodeResponseForwarded)
			return true
		case err != nil:
			sl.release(now, x.failureResult(x.ctx, err, now-sl.acquiredAt))
			return false
		case writeErr != nil:
			sl.release(now, router.Abandoned)
			return false
		}
	}
}

// abortConnection closes the caller's connection in the middle of a response. It
// hijacks the connection first: a middleware that recovers from the panic would
// otherwise end the response as if it were complete.
func (x *servedRequest) abortConnection() {
	x.server.metrics.aborted.Inc(1)
	if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
		conn.Close()
	}
	panic(http.ErrAbortHandler)
}
