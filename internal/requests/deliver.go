package requests

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

const copyBuffer = 32 << 10

// head writes the head of an answer.
func (x *exchange) head(rep *reply) {
	h := x.w.Header()
	for name, values := range rep.header {
		h[name] = values
	}
	h.Set(verdict.Header, rep.verdict.String())
	h.Set(HeaderID, x.call.id)
	switch {
	case rep.status == http.StatusNoContent || rep.status == http.StatusNotModified:
	case x.call.method == http.MethodHead && rep.size < 0:
	case x.call.method != http.MethodHead && rep.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(rep.body)))
	case rep.size >= 0:
		h.Set("Content-Length", strconv.FormatInt(rep.size, 10))
	}
	x.w.WriteHeader(rep.status)
}

// whole writes an answer that was read to its end.
func (x *exchange) whole(rep *reply) {
	x.head(rep)
	x.server.metrics.end(CodeAnswer)
	// The caller may be gone; the end of the request is the same.
	_, _ = x.w.Write(rep.body)
}

// stream passes on an answer that is larger than the buffer and gives the
// slot back. It returns false if the answer was not passed on whole; then it
// has aborted the caller's connection, unless the caller had left.
func (x *exchange) stream(sl *slot, rep *reply) (whole bool) {
	defer rep.rest.Close()
	x.head(rep)
	_, writeErr := x.w.Write(rep.body)
	buf := make([]byte, copyBuffer)
	control := http.NewResponseController(x.w)
	// A caller that reads too slowly must not hold the slot for ever.
	_ = control.SetWriteDeadline(time.Now().Add(x.call.deadline))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		n, err := rep.rest.Read(buf)
		if n > 0 && writeErr == nil {
			_, writeErr = x.w.Write(buf[:n])
			if rep.size < 0 && writeErr == nil {
				writeErr = control.Flush()
			}
		}
		now := x.server.clock.Now()
		switch {
		case err == io.EOF:
			sl.done(now, rep.result())
			x.server.metrics.end(CodeAnswer)
			return true
		case err != nil:
			sl.done(now, x.resultOf(x.ctx, err, now-sl.taken))
			return false
		case writeErr != nil:
			sl.done(now, router.Abandoned)
			return false
		}
	}
}

// abort closes the caller's connection in the middle of an answer. It takes
// the connection over first: a recovering middleware around this handler
// would otherwise end the answer as if it were whole.
func (x *exchange) abort() {
	x.server.metrics.aborted.Inc(1)
	if conn, _, err := http.NewResponseController(x.w).Hijack(); err == nil {
		conn.Close()
	}
	panic(http.ErrAbortHandler)
}
