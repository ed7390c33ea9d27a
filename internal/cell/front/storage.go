package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
)

// storageRetryAfter is when a caller may come back whose submission there was no memory for:
// memory is free again once work of others has finished and its state has been kept for its
// time.
const storageRetryAfter = 15 * time.Second

// hasStorage reports whether a submission or a tombstone of the team that takes so much memory,
// in bytes, may be stored. A team may hold as much as is left for all others, so that teams that
// hold little are served while others fill what is theirs.
func (c *call) hasStorage(bytes int64) bool {
	most := c.handler.MaxStorage
	if most == 0 {
		return true
	}
	total, ofTeam := c.handler.State.Storage(c.caller.Team)
	return ofTeam+bytes <= most-total
}

// refuseBeyondStorage returns the refusal of a submission for which there is no memory, nil
// if it may be stored, or the success of one that is stored: an earlier call may have
// stored it without an answer.
func (c *call) refuseBeyondStorage(ctx context.Context, bytes int64) *peers.CallResponse {
	if c.hasStorage(bytes) {
		return nil
	}
	since := c.beginRefusal()
	if err := c.handler.State.CatchUp(ctx); err != nil {
		resp := errorResponse(http.StatusGatewayTimeout, "the platform's store did not answer; the outcome is unknown")
		resp.NothingSent = true
		return resp
	}
	if e, found := c.handler.State.Find(c.id); found && c.mayAccess(e.Submission) {
		return okResponse(nil)
	}
	if c.hasStorage(bytes) {
		return nil
	}
	if c.mayBeStored(since) {
		return unknownOutcome504() // to store it would exceed the memory if the earlier attempt is not stored
	}
	total, ofTeam := c.handler.State.Storage(c.caller.Team)
	c.handler.Logger.Warn("A submission was refused, since the stored ones take too much memory.", "id", c.id, "queue", c.queue.Name, "team", c.caller.Team,
		"bytes", bytes, "total", total, "of_team", ofTeam, "limit", c.handler.MaxStorage)
	return noStorageResponse(fmt.Sprintf("the cell holds too much work of this team or of all; come back after %s", storageRetryAfter))
}

// noStorageResponse returns the response to a call that stores nothing, since there is no memory
// for it.
func noStorageResponse(reason string) *peers.CallResponse {
	resp := unavailableResponse(reason)
	resp.RetryAfterSeconds = int(storageRetryAfter / time.Second)
	return resp
}
