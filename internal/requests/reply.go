package requests

import (
	"io"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// reply is a runner's response. If body is not complete, remainder reads the
// rest; otherwise remainder is nil.
type reply struct {
	status    int
	header    http.Header
	body      []byte
	remainder io.ReadCloser
	size      int64
	verdict   verdict.Verdict
}

// refused reports whether the runner states that it did not start the request.
func (r *reply) refused() bool { return r.verdict == verdict.DidNotRun }
