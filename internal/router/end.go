package router

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// RecordedResult is the recorded result of a non-idempotent request. A repeated
// request with the same id is answered from it.
type RecordedResult struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	// Body is the whole response body, or nil if Partial is true.
	Body []byte
	// Partial is true if the body was not recorded, since it is larger than
	// MaxRecordedBody or the voter's bytes for recorded bodies are used up.
	Partial bool
}

// MaxRecordedBody is the largest response body that is recorded, in bytes.
const MaxRecordedBody = 16 << 10
