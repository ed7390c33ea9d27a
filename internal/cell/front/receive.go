package front

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/connlimit"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/platform"
)

// responseTimeout limits the sending of a response. It is longer than the idle timeout of
// a connection and the time for the next header together (18 s), since it stays in force
// until the next request.
const responseTimeout = 20 * time.Second

// bodyDiscardTimeout is how long the server reads on after the refusal of an incomplete body. A
// client that is still sending then gets the response instead of a reset connection.
const bodyDiscardTimeout = 500 * time.Millisecond

// receive reads the body of a request. release ends its processing. If refusal is not
// nil, nothing of the call has been processed and nothing will be.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request) (data []byte, release func(), refusal *peers.CallResponse) {
	maxBytes := int64(defaultBodyBytes)
	if d, _ := h.State.Desired(); d != nil && d.Limits.BodyBytes > 0 {
		maxBytes = int64(min(d.Limits.BodyBytes, maxBodyBytes))
	}
	conn := connlimit.OfRequest(r.Context())
	conn.SetWriteDeadline(time.Time{}) // that of the previous response
	data, release, err := h.readBody(conn, r, http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && !conn.Use():
		release()
		return nil, nil, unavailableResponse("too many connections are open")
	case err == nil:
		return data, release, nil
	case errors.As(err, &tooLarge):
		return nil, nil, errorResponse(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	case errors.Is(err, errBodyShed):
		return nil, nil, endConnection(w, conn, unavailableResponse(err.Error()))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, endConnection(w, conn, unavailableResponse("the body did not arrive in time"))
	}
	return nil, nil, errorResponse(http.StatusBadRequest, "the body cannot be read")
}

// readBody reads a body within the budget, if there is one.
func (h *Handler) readBody(conn connlimit.Request, r *http.Request, from io.Reader) (data []byte, release func(), err error) {
	if h.Bodies == nil || r.Body == http.NoBody {
		data, err = io.ReadAll(from)
		return data, func() {}, err
	}
	m := h.Bodies.begin(conn, r.Header)
	data, err = m.read(from)
	return data, m.release, err
}

// endConnection makes the server close the connection after a response, and wait no longer
// than bodyDiscardTimeout for the rest of the body.
func endConnection(w http.ResponseWriter, conn connlimit.Request, resp *peers.CallResponse) *peers.CallResponse {
	w.Header().Set("Connection", "close")
	conn.SetReadDeadline(time.Now().Add(bodyDiscardTimeout))
	return resp
}

// respond sends a response. While it is being sent, the connection may be closed in
// favour of another one: its client may not read the response.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, resp *peers.CallResponse) {
	conn := connlimit.OfRequest(r.Context())
	conn.Wait()
	conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	writeResponse(w, resp)
}

// callDeadline returns the deadline that the header of a call sets, at most
// maxCallTimeout; zero if it sets none.
func callDeadline(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(platform.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(min(ms, maxCallTimeout.Milliseconds())) * time.Millisecond
}
