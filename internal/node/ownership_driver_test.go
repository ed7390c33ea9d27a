package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
)

// Guards against a shard that is neither transferred nor kept, because the
// ownership manager does not learn that its dispatcher could not be quiesced in
// time.
func TestFailedQuiesceIsReported(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		again bool
	}{
		{"commands stay outstanding", context.DeadlineExceeded, true},
		// The manager gave the transfer up when it stopped the dispatcher.
		{"the dispatcher was stopped", dispatch.ErrStopped, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, quiesce := startLeaving(t)
			o.quiesce = func(context.Context, ownership.ShardToken) error { return c.err }
			o.quiesceForTransfer(quiesce)
			o.wg.Wait()
			if again := len(o.actions) == 1; again != c.again {
				t.Errorf("%d transfers are requested again", len(o.actions))
			}
		})
	}
}

// startLeaving returns the driver of a node that owns one shard and leaves, and
// the request to quiesce that shard.
func startLeaving(t *testing.T) (*ownershipDriver, ownership.QuiesceShard) {
	t.Helper()
	self, peer := ownership.Identity{Node: "a", Incarnation: 1}, ownership.Identity{Node: "b", Incarnation: 1}
	o := &ownershipDriver{
		clock: clock{started: time.Now()}, self: self, log: slog.New(slog.DiscardHandler), ctx: t.Context(),
		manager: ownership.New(ownership.Config{Self: self, Zone: "z", Nodes: 2}),
		actions: make(chan ownership.Action, maxQueuedShardActions),
	}
	log := ownership.NewStateMachine()
	log.Join(1, self, "z")
	log.Join(2, peer, "z")
	log.Claim(3, self, "z/0", 0)
	log.SetReadOffset(5)
	now := o.clock.Now()
	for _, e := range []ownership.Event{
		ownership.ShardsChanged{Shards: []ownership.Shard{{Name: "z/0", Zone: "z"}}},
		ownership.LedgerRead{State: log.State()},
		ownership.RenewalAccepted{SentAt: now, Offset: 4},
		ownership.Drain{},
	} {
		for _, a := range o.manager.Handle(now, e) {
			if quiesce, ok := a.(ownership.QuiesceShard); ok {
				return o, quiesce
			}
		}
	}
	t.Fatal("the node does not transfer its shard")
	return nil, ownership.QuiesceShard{}
}
