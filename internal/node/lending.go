package node

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/lending"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// lendInterval is how often the owner of a shard looks at its allotments.
const lendInterval = 250 * time.Millisecond

// lender is the lending of one shard under one token.
type lender struct {
	mu   sync.Mutex
	book *lending.Lender
}

// lendLoop moves allotments of the shards of this process with the demand.
func (n *Node) lendLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, lendInterval) {
		others := n.demandElsewhere()
		for _, o := range n.shards.all() {
			n.lend(o, others)
		}
	}
}

// lend decides for one shard and appends the transfers.
func (n *Node) lend(o *ownedShard, others map[string][]*peerv1.TeamDemand) {
	state := n.replica.AllotmentState(o.name)
	if state.Claim.Token != o.token {
		return
	}
	in := lending.Input{ReadOffset: state.NextOffset, Shards: int64(max(1, len(n.hosts.shardList()))), LogReachable: !n.logAway()}
	use := o.summary(n.clock.Now()).Limits
	for _, a := range state.Allotments {
		obs := lending.Observation{
			Limit: a.Limit, Units: a.Total, Pool: a.Pool, Allotment: a.Units,
			Used: use[a.Limit].Used, Waiting: use[a.Limit].Waiting,
		}
		addDemand(&obs, o.name, others)
		in.Limits = append(in.Limits, obs)
	}
	o.lender.mu.Lock()
	transfers := o.lender.book.Decide(n.clock.Now(), in)
	o.lender.mu.Unlock()
	if len(transfers) == 0 {
		return
	}
	o.run.SetAllotments(n.usableUnits(o, state))
	for _, t := range transfers {
		go n.transfer(o, t)
	}
}

// demandElsewhere returns the latest demand of every shard by shard name.
func (n *Node) demandElsewhere() map[string][]*peerv1.TeamDemand {
	out := map[string][]*peerv1.TeamDemand{}
	said := n.summary().Shards
	for _, v := range n.gossip.views() {
		said = append(said, v.Shards...)
	}
	tokens := map[string]uint64{}
	for _, s := range said {
		if s.Token >= tokens[s.Shard] {
			tokens[s.Shard], out[s.Shard] = s.Token, s.Demand
		}
	}
	return out
}

// addDemand sums up what other shards need and hold of a limit.
func addDemand(obs *lending.Observation, shard string, demand map[string][]*peerv1.TeamDemand) {
	for name, limits := range demand {
		if name == shard {
			continue
		}
		for _, d := range limits {
			if d.Limit != obs.Limit {
				continue
			}
			if unmet := d.Used + d.Waiting - d.Allotted; unmet > 0 {
				obs.OthersUnmet += unmet
				obs.Needy++
			} else {
				obs.OthersIdle -= unmet
			}
		}
	}
}

// transfer appends one transfer. While its fate is open the units count for
// neither side.
func (n *Node) transfer(o *ownedShard, t lending.Transfer) {
	record := &ledgerv1.Transfer{Limit: t.Limit, To: o.name, Units: t.Units, Token: o.token}
	if t.Return {
		record.From, record.To = o.name, ""
	}
	receipt, err := recorder{n.logClient}.effective(n.ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Transfer{Transfer: record}})
	o.lender.mu.Lock()
	switch {
	case err == nil:
		o.lender.book.Appended(t.ID, receipt.Offset)
	case verdict.Of(err) == verdict.DidNotRun:
		o.lender.book.Refused(t.ID)
	}
	o.lender.mu.Unlock()
	o.run.SetAllotments(n.usableUnits(o, n.replica.AllotmentState(o.name)))
}

// usableUnits returns what each limit allows in a shard, without the units
// that are on their way back to the pool.
func (n *Node) usableUnits(o *ownedShard, state ledger.AllotmentState) map[string]int64 {
	o.lender.mu.Lock()
	defer o.lender.mu.Unlock()
	units := make(map[string]int64, len(state.Allotments))
	for _, a := range state.Allotments {
		units[a.Limit] = o.lender.book.Available(a.Limit, a.Units, state.NextOffset)
	}
	return units
}
