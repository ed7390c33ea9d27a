package front

import (
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

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
