package front

import (
	"context"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// Admission decides which submissions are refused, since they would end too late to be of use.
type Admission interface {
	// Decide returns the refusal of a submission, nil if it is accepted.
	Decide(q admission.Request) *admission.Refusal
	// Refused records that a submission was refused.
	Refused(id string)
	// Accepted forgets a refused submission, which is stored now. It reports whether there was one.
	Accepted(id string) bool
}

// refuseTooLate returns the refusal of a submission that would end too late to be of use, nil if
// it may be stored, or the success of one that is stored: an earlier call may have stored it
// without an answer.
func (c *call) refuseTooLate(ctx context.Context, s *cell.Submission) *peers.CallResponse {
	gate := c.handler.Admission
	if gate == nil {
		return nil
	}
	q, ok := schedule.AdmissionRequest(s, c.queue)
	if !ok {
		return nil
	}
	if gate.Decide(q) == nil {
		return nil
	}
	since := c.beginRefusal()
	if c.mayBeStored(since) {
		return nil
	}
	if err := c.handler.State.CatchUp(ctx); err != nil {
		return nil // whether it is stored is not known; to accept it is safe
	}
	if e, found := c.handler.State.Find(c.id); found {
		return c.answerRepeated(e)
	}
	r := gate.Decide(q) // the summary may be too old by now, or a later one may have been read
	if r == nil || c.mayBeStored(since) {
		return nil
	}
	gate.Refused(c.id)
	return c.refusal(q, r)
}

// acceptReturned forgets a refused submission that is stored now. Until then it keeps its
// precedence.
func (c *call) acceptReturned() {
	if gate := c.handler.Admission; gate != nil && gate.Accepted(c.id) {
		c.handler.Logger.Info("A submission that was refused before is stored.", "id", c.id, "queue", c.queue.Name, "team", c.caller.Team)
	}
}

// refusal logs, counts and returns a refusal.
func (c *call) refusal(q admission.Request, r *admission.Refusal) *peers.CallResponse {
	status, cause := http.StatusServiceUnavailable, "cell"
	if r.Own {
		status, cause = http.StatusTooManyRequests, "team"
	}
	c.handler.Logger.Info("A submission was refused, since it would end too late to be of use.", "id", c.id, "queue", c.queue.Name, "team", c.caller.Team,
		"status", status, "wait", r.Wait, "work", q.Work, "latest", q.Latest, "retry_after_seconds", r.RetryAfterSeconds)
	if m := c.handler.Metrics; m != nil {
		m.Tagged(map[string]string{"cause": cause}).Counter("admission_refusals").Inc(1)
	}
	resp := errorResponse(status, r.Text(q))
	resp.RetryAfterSeconds, resp.Final = r.RetryAfterSeconds, true
	return resp
}
