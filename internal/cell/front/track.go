package front

import (
	"context"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// AnswerForwarded answers a call that another node forwarded.
func (h *Handler) AnswerForwarded(ctx context.Context, r *peers.CallRequest) *peers.CallResponse {
	return h.track(r, func() *peers.CallResponse { return h.Answer(ctx, r, nil) })
}

// track answers a call with answer. A submission that an earlier or a simultaneous call may have
// stored is not refused: the caller would take it as not accepted, and it may run.
func (h *Handler) track(r *peers.CallRequest, answer func() *peers.CallResponse) *peers.CallResponse {
	id, ok := submittedID(r.Method, r.Path)
	if !ok {
		return answer()
	}
	since, known := h.attempts.begin(id, time.Now())
	unknown := true // also if answer panics
	defer func() { h.endAttempt(id, unknown) }()
	known = known || h.Records.MayStore(registry.SubmissionKey(id))
	r.MayBeStored = r.MayBeStored || known
	resp := answer()
	unknown = resp.Status == http.StatusGatewayTimeout && !resp.NothingSent
	if isRefusal(resp.Status) && (known || h.mayBeStored(id, since)) {
		h.Logger.Info("A submission is not refused, since another attempt may be stored.", "id", id, "status", resp.Status)
		return unknownOutcome504()
	}
	return resp
}

// endAttempt notes the end of a call that track began.
func (h *Handler) endAttempt(id string, unknown bool) {
	h.attempts.end(id, unknown, time.Now())
	if h.Metrics != nil {
		h.Metrics.Gauge("unknown_outcomes").Update(float64(h.attempts.unknownOutcomes()))
	}
}

// submittedID returns the ID that a call submits, false if it is no submission. The path prefix
// of a queue need not end with a slash.
func submittedID(method, path string) (id string, ok bool) {
	id = path[max(len(path)-platform.IDLength, 0):]
	return id, method == http.MethodPost && platform.IsID(id)
}

// isRefusal reports whether a status tells the caller of a submission that it is not accepted
// and never runs, whatever the call contains.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// UnlessStored returns the response to a call that is refused before track: resp, or 504 if it
// refuses a submission that a call of this node may have stored.
func (h *Handler) UnlessStored(method, path string, resp *peers.CallResponse) *peers.CallResponse {
	id, ok := submittedID(method, path)
	if !ok || !isRefusal(resp.Status) {
		return resp
	}
	begun, mayBeStored := h.attempts.state(id, time.Now())
	if begun > 0 || mayBeStored || h.Records.MayStore(registry.SubmissionKey(id)) {
		return unknownOutcome504()
	}
	return resp
}

// unknownOutcome504 returns the response to a call that sent nothing, and that cannot be refused
// since an earlier one may be stored.
func unknownOutcome504() *peers.CallResponse {
	resp := errorResponse(http.StatusGatewayTimeout, "another attempt of this submission may be stored; the outcome is unknown")
	resp.NothingSent = true
	return resp
}

// beginRefusal returns a number for mayBeStored. It is taken before the topic is read to find
// out whether the submission is stored.
func (c *call) beginRefusal() (since int) {
	since, _ = c.handler.attempts.state(c.id, time.Now())
	return since
}

// mayBeStored reports whether an earlier or a simultaneous call may have stored the submission
// without this node knowing it, by a read that began after beginRefusal returned since.
func (c *call) mayBeStored(since int) bool {
	return c.request.MayBeStored || c.handler.mayBeStored(c.id, since)
}

// mayBeStored reports whether another call than the one that asks may have stored a submission,
// or has begun since the given number of calls had.
func (h *Handler) mayBeStored(id string, since int) bool {
	begun, mayBeStored := h.attempts.state(id, time.Now())
	return mayBeStored || begun != since || h.Records.MayStore(registry.SubmissionKey(id))
}
