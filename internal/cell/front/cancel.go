package front

import (
	"context"
	"net/http"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const cancelFailedMessage = "The append of a cancellation failed."

// cancel answers a call that cancels a submission.
func (c *call) cancel(ctx context.Context) *peers.CallResponse {
	e, found, refusal := c.lookup(ctx)
	switch {
	case refusal != nil:
		return refusal
	case !found:
		return c.cancelUnstored(ctx)
	}
	if refusal := c.refuseAccess(e); refusal != nil {
		return refusal
	}
	if e.State().Final() {
		return okResponse(platform.EncodeState(e.State()))
	}
	return c.storeRecord(ctx, registry.CancelRecord(c.id), okResponse(nil), "A submission was cancelled.", cancelFailedMessage)
}

// cancelUnstored cancels a submission that is not stored. An append of it may be open, at this
// node or at another one, and take effect later, so that no read can prove that it does not
// exist. The tombstone cancels it then. The response is 202, since there may be no such
// submission.
func (c *call) cancelUnstored(ctx context.Context) *peers.CallResponse {
	if !c.hasStorage(registry.TombstoneBytes) {
		return noStorageResponse("no such submission is stored, and there is no memory to cancel one that may be stored later")
	}
	r := registry.TombstoneRecord(c.id, registry.Tombstone{Principal: c.caller})
	accepted := &peers.CallResponse{Status: http.StatusAccepted, Body: platform.EncodeMessage("no such submission is stored; one that is stored later is cancelled")}
	return c.storeRecord(ctx, r, accepted, "A submission that is not stored was cancelled.", cancelFailedMessage)
}
