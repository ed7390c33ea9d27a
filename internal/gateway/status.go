package gateway

import (
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Codes of problems. The HTTP status of any other code follows from the verdict.
const (
	CodeBadRequest       = "bad-request"
	CodeUnauthenticated  = "unauthenticated"
	CodeForbidden        = "forbidden"
	CodeNotFound         = "not-found"
	CodeMethodNotAllowed = "method-not-allowed"
	CodeDeadline         = "deadline"
	CodeConflict         = "conflict"
	CodeIDReused         = "id-reused"
	CodeGone             = "gone"
	CodeTooLarge         = "too-large"
	CodeInvalidObjects   = "invalid-objects"
	CodeInfeasible       = "infeasible"
	CodeTeamLimit        = "team-limit"
	CodeQueueFull        = "queue-full"
	CodeInternal         = "internal"
	CodeOverloaded       = "overloaded"
	CodeUnavailable      = "unavailable"
	CodeLogUnavailable   = "log-unavailable"
	CodeNotFresh         = "not-fresh"
	CodeDraining         = "draining"
	CodeNotReady         = "not-ready"
)

var statusOfCode = map[string]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeConflict:         http.StatusConflict,
	CodeIDReused:         http.StatusConflict,
	CodeGone:             http.StatusGone,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeInvalidObjects:   http.StatusUnprocessableEntity,
	CodeInfeasible:       http.StatusUnprocessableEntity,
	CodeTeamLimit:        http.StatusTooManyRequests,
	CodeQueueFull:        http.StatusTooManyRequests,
	CodeInternal:         http.StatusInternalServerError,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeUnavailable:      http.StatusServiceUnavailable,
	CodeLogUnavailable:   http.StatusServiceUnavailable,
	CodeNotFresh:         http.StatusServiceUnavailable,
	CodeDraining:         http.StatusServiceUnavailable,
	CodeNotReady:         http.StatusServiceUnavailable,
	CodeDeadline:         http.StatusGatewayTimeout,
}

// HTTPStatusOf returns the HTTP status for a code and a verdict. A code that is
// not in statusOfCode gives 503 if the verdict is did-not-run, else 500.
func HTTPStatusOf(code string, v verdict.Verdict) int {
	if status, ok := statusOfCode[code]; ok {
		return status
	}
	if v == verdict.DidNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
