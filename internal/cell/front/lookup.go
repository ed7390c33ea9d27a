package front

import (
	"context"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// lookup returns what is stored under the ID of the call, by a read of the topic that began after
// the call unless it is known already. found is false if nothing is. The refusal is nil if that
// is certain.
func (c *call) lookup(ctx context.Context) (e registry.Entry, found bool, refusal *peers.CallResponse) {
	e, found = c.handler.State.Find(c.id)
	if found && !e.Expired() {
		return e, true, nil
	}
	if err := c.handler.State.CatchUp(ctx); err != nil {
		return e, false, unavailableResponse("the state of submissions may be out of date")
	}
	e, found = c.handler.State.Find(c.id)
	return e, found, nil
}

// refuseAccess returns the refusal of a call for the state or the cancellation of a stored
// submission, nil if it is allowed. To callers of other teams the submission does not exist. The
// queue of the call does not matter: a later desired state may give the queue that accepted the
// submission another name or path, or give its path to another queue.
func (c *call) refuseAccess(e registry.Entry) *peers.CallResponse {
	switch {
	case e.Expired():
		return errorResponse(http.StatusGone, "the submission has finished, and its state is no longer kept")
	case !c.mayAccess(e.Submission):
		return errorResponse(http.StatusGone, "no such submission of this team")
	}
	return nil
}

// mayAccess reports whether the caller may see and cancel a submission. It may if the submission
// is its own, or was accepted from callers without a key. At a queue that needs no key, callers
// cannot show whose submissions are theirs, so that they may access those of that queue.
func (c *call) mayAccess(s *cell.Submission) bool {
	if c.caller.Owns(s) || s.Team == "" {
		return true
	}
	return c.queue.WithoutKey && c.desired.BelongsTo(&s.Queue, &c.queue)
}

// answerRepeated answers a call that submits what is stored.
func (c *call) answerRepeated(e registry.Entry) *peers.CallResponse {
	if !c.mayAccess(e.Submission) {
		return errorResponse(http.StatusConflict, "another team has a submission with this id")
	}
	return okResponse(nil)
}

// state answers a call for the state of a submission.
func (c *call) state(ctx context.Context) *peers.CallResponse {
	mayBeStored := c.handler.Records.MayStore(registry.SubmissionKey(c.id)) // before the topic is read
	e, found, refusal := c.lookup(ctx)
	switch {
	case refusal != nil:
		return refusal
	case !found && mayBeStored:
		return unavailableResponse("the submission is being stored; the outcome is not known yet")
	case !found:
		return errorResponse(http.StatusGone, "no such submission")
	}
	if refusal := c.refuseAccess(e); refusal != nil {
		return refusal
	}
	return okResponse(platform.EncodeState(e.State()))
}
