package requests

import (
	"io"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// reply is the answer of a runner. Rest is nil if body is all of it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	rest    io.ReadCloser
	size    int64
	verdict verdict.Verdict
}

// refused is true if the runner proved that it did not start the request.
func (r *reply) refused() bool { return r.verdict == verdict.DidNotRun }
