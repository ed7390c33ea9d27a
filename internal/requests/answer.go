package requests

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// statusOf is the HTTP status of each code; others are 502.
var statusOf = map[string]int{
	CodeBadPath: http.StatusBadRequest, CodeBadMethod: http.StatusMethodNotAllowed,
	CodeBadHeader: http.StatusBadRequest, CodeNoID: http.StatusBadRequest,
	CodeHeaderTooBig: http.StatusRequestHeaderFieldsTooLarge, CodeBodyTooBig: http.StatusRequestEntityTooLarge,
	CodeBodyBroken: http.StatusBadRequest,
	CodeNoKey:      http.StatusUnauthorized, CodeBadKey: http.StatusUnauthorized, CodeWithdrawn: http.StatusForbidden,
	CodeClass: http.StatusForbidden, CodeNoUpstream: http.StatusNotFound,
	CodeStale: http.StatusServiceUnavailable, CodeDraining: http.StatusServiceUnavailable,
	CodeBuffers: http.StatusServiceUnavailable, CodeWaited: http.StatusServiceUnavailable,
	CodeRunnerRefused: http.StatusServiceUnavailable, CodeNoMajority: http.StatusServiceUnavailable,
	CodeMembers: http.StatusServiceUnavailable, CodeLateUse: http.StatusServiceUnavailable,
	CodeHeld: http.StatusConflict, CodeRanBefore: http.StatusConflict,
	CodeDeadline:         http.StatusGatewayTimeout,
	router.CodeQueueFull: http.StatusTooManyRequests, router.CodeTeams: http.StatusServiceUnavailable,
	router.CodeDeadline:  http.StatusServiceUnavailable,
	runner.CodeConnect:   http.StatusServiceUnavailable,
	runner.CodeLost:      http.StatusBadGateway,
	runner.CodeTruncated: http.StatusBadGateway,
	runner.CodeSilent:    http.StatusBadGateway,
	runner.CodeUnframed:  http.StatusBadGateway,
	runner.CodeInvalid:   http.StatusBadRequest,
}

// refuse answers with an error and its verdict.
func (s *Server) refuse(w http.ResponseWriter, id string, err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Wrap(err, verdict.MayHaveRun, runner.CodeLost)
	}
	status := statusOf[e.Code]
	if status == 0 {
		status = http.StatusBadGateway
	}
	s.metrics.end(e.Code)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfterMillis > 0 {
		h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMillis+999)/1000, 10))
	}
	if id != "" {
		h.Set(HeaderID, id)
	}
	w.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(failure{
		Code: e.Code, Verdict: e.Verdict.String(), Message: e.Err.Error(),
		RequestID: id, RetryAfterMS: e.RetryAfterMillis,
	})
}
