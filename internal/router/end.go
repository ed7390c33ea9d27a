package router

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// End is how a non-idempotent request ended, as repeats are told.
type End struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	// Body is the whole answer, or empty if it was larger than MaxEndBody.
	Body []byte
	// Partial is true if the answer was too large to be recorded.
	Partial bool
}

// MaxEndBody bounds the recorded answer of one request, in bytes.
const MaxEndBody = 16 << 10
