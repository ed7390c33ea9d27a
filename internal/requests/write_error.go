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

// statusByCode is the HTTP status of each code. Codes that are missing here are
// answered with 502.
var statusByCode = map[string]int{
	CodeBadPath: http.StatusBadRequest, CodeBadMethod: http.StatusMethodNotAllowed,
	CodeBadHeader: http.StatusBadRequest, CodeMissingID: http.StatusBadRequest,
	CodeHeaderTooBig: http.StatusRequestHeaderFieldsTooLarge, CodeBodyTooBig: http.StatusRequestEntityTooLarge,
	CodeBodyBroken: http.StatusBadRequest,
	CodeMissingKey: http.StatusUnauthorized, CodeUnknownKey: http.StatusUnauthorized, CodeKeyWithdrawn: http.StatusForbidden,
	CodeClassNotAllowed: http.StatusForbidden, CodeUnknownUpstream: http.StatusNotFound,
	CodeConfigStale: http.StatusServiceUnavailable, CodeDraining: http.StatusServiceUnavailable,
	CodeBuffersFull: http.StatusServiceUnavailable, CodeDeadlineInQueue: http.StatusServiceUnavailable,
	CodeRunnerRefused: http.StatusServiceUnavailable, CodeNoMajority: http.StatusServiceUnavailable,
	CodeMembersChanging: http.StatusServiceUnavailable, CodeReservationExpired: http.StatusServiceUnavailable,
	CodeIDInUse: http.StatusConflict, CodeRanBefore: http.StatusConflict,
	CodeDeadline:         http.StatusGatewayTimeout,
	router.CodeQueueFull: http.StatusTooManyRequests, router.CodeTooManyTeams: http.StatusServiceUnavailable,
	router.CodeDeadlineUnreachable: http.StatusServiceUnavailable,
	runner.CodeRunnerUnreachable:   http.StatusServiceUnavailable,
	runner.CodeAnswerLost:          http.StatusBadGateway,
	runner.CodeAnswerTruncated:     http.StatusBadGateway,
	runner.CodeConnectionStalled:   http.StatusBadGateway,
	runner.CodeAnswerUnframed:      http.StatusBadGateway,
	runner.CodeRequestInvalid:      http.StatusBadRequest,
}

// writeError writes the error response of a request: status, verdict, delay
// before a retry, and a JSON body. An error without a verdict is reported as may
// have run.
func (s *Server) writeError(w http.ResponseWriter, id string, err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.Wrap(err, verdict.MayHaveRun, runner.CodeAnswerLost)
	}
	status := statusByCode[e.Code]
	if status == 0 {
		status = http.StatusBadGateway
	}
	s.metrics.countEnd(e.Code)
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
	// The caller may have disconnected; the error can't be reported elsewhere.
	_ = json.NewEncoder(w).Encode(errorBody{
		Code: e.Code, Verdict: e.Verdict.String(), Message: e.Err.Error(),
		RequestID: id, RetryAfterMS: e.RetryAfterMillis,
	})
}
