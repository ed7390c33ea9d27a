package front

import (
	"context"
	"net/http"

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
