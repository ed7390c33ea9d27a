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

// lendingInterval is the interval at which the owner of a shard reviews its
// allotments.
const lendingInterval = 250 * time.Millisecond

// lender guards the lending state of one shard under one fencing token.
type lender struct {
	mu    sync.Mutex
	state *lending.Lender
}

// lendLoop adjusts the allotments of the owned shards to demand until ctx ends.
func (n *Node) lendLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, lendingInterval) {
		others := n.demandByShard()
		for _, o := range n.shards.all() {
			n.lend(o, others)
		}
	}
}

// lend determines the transfers of units for one shard and appends them to the
// log.
func (n *Node) lend(o *ownedShard, others map[string][]*peerv1.TeamDemand) {
	state := n.replica.AllotmentState(o.name)
	if state.Claim.Token != o.token {
		return
	}
	in := lending.Input{ReadOffset: state.NextOffset, Shards: int64(max(1, len(n.hosts.shardList()))), LogReachable: !n.logUnavailable()}
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
	transfers := o.lender.state.Decide(n.clock.Now(), in)
	o.lender.mu.Unlock()
	if len(transfers) == 0 {
		return
	}
	o.dispatcher.SetAllotments(n.usableUnits(o, state))
	for _, t := range transfers {
		go n.transfer(o, t)
	}
}

// demandByShard returns the latest known demand of every shard.
func (n *Node) demandByShard() map[string][]*peerv1.TeamDemand {
	out := map[string][]*peerv1.TeamDemand{}
	summaries := n.summary().Shards
	for _, v := range n.peerTracker.views() {
		summaries = append(summaries, v.Shards...)
	}
	tokens := map[string]uint64{}
	for _, s := range summaries {
		if s.Token >= tokens[s.Shard] {
			tokens[s.Shard], out[s.Shard] = s.Token, s.Demand
		}
	}
	return out
}

// addDemand adds up the units of a limit that other shards lack or leave unused.
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
				obs.OtherShardsWithUnmetDemand++
			} else {
				obs.OthersIdle -= unmet
			}
		}
	}
}

// transfer appends one transfer of units. Until its outcome is known, the units
// count for neither side.
func (n *Node) transfer(o *ownedShard, t lending.Transfer) {
	record := &ledgerv1.Transfer{Limit: t.Limit, To: o.name, Units: t.Units, Token: o.token}
	if t.Return {
		record.From, record.To = o.name, ""
	}
	receipt, err := recorder{n.logClient}.appendEffective(n.ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Transfer{Transfer: record}})
	o.lender.mu.Lock()
	switch {
	case err == nil:
		o.lender.state.Appended(t.ID, receipt.Offset)
	case verdict.Of(err) == verdict.DidNotRun:
		o.lender.state.Refused(t.ID)
	}
	o.lender.mu.Unlock()
	o.dispatcher.SetAllotments(n.usableUnits(o, n.replica.AllotmentState(o.name)))
}

// usableUnits returns the units of each limit that a shard may use. It excludes
// the units that are being returned to the pool.
func (n *Node) usableUnits(o *ownedShard, state ledger.AllotmentState) map[string]int64 {
	o.lender.mu.Lock()
	defer o.lender.mu.Unlock()
	units := make(map[string]int64, len(state.Allotments))
	for _, a := range state.Allotments {
		units[a.Limit] = o.lender.state.Available(a.Limit, a.Units, state.NextOffset)
	}
	return units
}
