package requests

import (
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// call is one decoded request of a caller.
type call struct {
	upstream string
	// uri is the path and query passed on to the runner.
	uri        string
	id         string
	idempotent bool
	deadline   time.Duration
	class      work.Class
	team       Team
	header     http.Header
	method     string
	// body is the whole body if it fits the buffer, else nil with stream set.
	body   []byte
	stream bool
	size   int64
	// buffer is what the call holds of the buffers of the node, in bytes.
	buffer int64
}
