package requests

import (
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// call is a decoded request.
type call struct {
	upstream string
	// uri is the path and query for the runner, without the upstream prefix.
	uri        string
	id         string
	idempotent bool
	deadline   time.Duration
	class      work.Class
	team       Team
	header     http.Header
	method     string
	// body is the complete body if it fits the buffer. Otherwise streamed is set
	// and body is the part that was read into the buffer.
	body     []byte
	streamed bool
	size     int64
	// bufferedBytes is the call's share of MaxBufferedBytes.
	bufferedBytes int64
}
