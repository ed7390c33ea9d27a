package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

const (
	// ownershipTickInterval is the interval of the time events sent to the
	// ownership rules.
	ownershipTickInterval = 100 * time.Millisecond
	// appendTimeout is the timeout for appending a record about ownership.
	appendTimeout = 5 * time.Second
	// peerQueryTimeout is the timeout of a query to a peer about ownership.
	peerQueryTimeout = 900 * time.Millisecond
)

// ownershipDriver passes events to the ownership manager of the process and
// performs its actions.
type ownershipDriver struct {
	clock   clock
	replica *ledger.Replica
	client  *logclient.Client
	record  recorder
	peers   peerCaller
	self    ownership.Identity
	log     *slog.Logger
	// start, stop and quiesce are called in order, without mu.
	start   func(ownership.ShardToken)
	stop    func(ownership.ShardToken)
	quiesce func(ctx context.Context, t ownership.ShardToken) error

	mu             sync.Mutex
	manager        *ownership.Manager
	pendingReplies map[uint64]chan ownership.Action
	nextID         uint64

	wake           chan struct{}
	leaveReady     chan struct{}
	leaveReadyOnce sync.Once
	// actions holds the starts, stops and transfers of shards to be performed.
	actions chan ownership.Action
	ctx     context.Context
	wg      sync.WaitGroup
}

// maxQueuedShardActions is the capacity of the queue of starts, stops and
// transfers of shards.
const maxQueuedShardActions = 4096

// run passes time events and the ledger state to the ownership manager until
// ctx ends.
func (o *ownershipDriver) run(ctx context.Context) {
	o.ctx = ctx
	o.wg.Add(1)
	go func() { defer o.wg.Done(); o.runShardActions(ctx) }()
	ticker := time.NewTicker(ownershipTickInterval)
	defer ticker.Stop()
	lastRead := logclient.Never
	for {
		select {
		case <-ctx.Done():
			o.wg.Wait()
			return
		case <-o.wake:
		case <-ticker.C:
		}
		since := o.client.Contact().SinceRead
		if since < lastRead {
			o.handle(ownership.LogContact{})
		}
		lastRead = since
		o.handle(ownership.LedgerRead{State: o.replica.Ownership()})
		o.handle(ownership.Tick{})
	}
}

// ledgerChanged makes run pass the ledger state to the ownership manager
// without waiting for the next tick.
func (o *ownershipDriver) ledgerChanged() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// shardsKnown passes the known shards to the ownership manager.
func (o *ownershipDriver) shardsKnown(shards []ownership.Shard) {
	o.handle(ownership.ShardsChanged{Shards: shards})
}

// handle passes one event to the ownership manager and dispatches their actions.
func (o *ownershipDriver) handle(e ownership.Event) {
	o.mu.Lock()
	actions := o.manager.Handle(o.clock.Now(), e)
	o.mu.Unlock()
	for _, a := range actions {
		o.dispatch(a)
	}
}

// authority reports whether this process currently has authority over a shard
// under a token.
func (o *ownershipDriver) authority(shard string, token uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, _, ok := o.manager.Authority(shard, o.clock.Now())
	return ok && current == token
}

// earlierAuthorityEnd returns when the authority of earlier owners of a shard
// ended, or the current time if the ownership manager does not know it.
func (o *ownershipDriver) earlierAuthorityEnd(shard string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, ok := o.manager.EarlierAuthorityEndedAt(shard); ok {
		return at
	}
	return o.clock.Now()
}

// dispatch performs one action or queues it. It does not wait for peers or the
// log.
func (o *ownershipDriver) dispatch(a ownership.Action) {
	switch act := a.(type) {
	case ownership.AppendRenewal:
		o.spawn(func(ctx context.Context) { o.renew(ctx, act) })
	case ownership.AppendClaim:
		o.spawn(func(ctx context.Context) { o.claim(ctx, act) })
	case ownership.AppendEvict:
		o.spawn(func(ctx context.Context) { o.evict(ctx, act) })
	case ownership.AppendRelease:
		o.spawn(func(ctx context.Context) { o.release(ctx, act) })
	case ownership.RequestConfirmations:
		o.requestOutageConfirmations(act)
	case ownership.RequestAcks:
		o.requestAcks(act)
	case ownership.StartShard, ownership.StopShard, ownership.QuiesceShard:
		o.actions <- a
	case ownership.ConfirmReply:
		o.reply(act.ID, act)
	case ownership.AckReply:
		o.reply(act.ID, act)
	case ownership.LeaveReady:
		o.leaveReadyOnce.Do(func() { close(o.leaveReady) })
	}
}

// spawn runs f in a goroutine, with a context that ends when the process stops or
// after appendTimeout.
func (o *ownershipDriver) spawn(f func(ctx context.Context)) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		ctx, cancel := context.WithTimeout(o.ctx, appendTimeout)
		defer cancel()
		f(ctx)
	}()
}

// runShardActions starts, stops and transfers shards in the order in which the
// ownership manager requests it.
func (o *ownershipDriver) runShardActions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-o.actions:
			switch act := a.(type) {
			case ownership.StartShard:
				o.log.Info("This node may now send commands for the shard.", "shard", act.Shard, "token", act.Token)
				o.start(act.ShardToken)
			case ownership.StopShard:
				o.log.Info("This node may no longer send commands for the shard.", "shard", act.Shard, "token", act.Token, "reason", act.Reason)
				o.stop(act.ShardToken)
			case ownership.QuiesceShard:
				o.log.Info("Shard is being transferred.", "shard", act.Shard, "token", act.Token, "successor", act.Successor)
				o.quiesceForTransfer(act)
			}
		}
	}
}

// quiesceForTransfer waits in a goroutine until the dispatcher of a shard has no
// outstanding intents, starts or unlogged outcomes, and reports this, or that
// it took longer than appendTimeout, to the ownership manager. It reports nothing
// if the dispatcher was stopped: the manager has given up the transfer by then.
func (o *ownershipDriver) quiesceForTransfer(act ownership.QuiesceShard) {
	o.spawn(func(ctx context.Context) {
		if err := o.quiesce(ctx, act.ShardToken); err != nil {
			o.log.Warn("Shard was not made ready for its transfer.", "shard", act.Shard, "error", err)
			if !errors.Is(err, dispatch.ErrStopped) {
				o.handle(ownership.QuiesceFailed{ShardToken: act.ShardToken})
			}
			return
		}
		o.handle(ownership.ShardQuiesced{ShardToken: act.ShardToken})
	})
}

// renew appends a renewal of the membership and reports to the ownership
// manager when it was sent.
func (o *ownershipDriver) renew(ctx context.Context, act ownership.AppendRenewal) {
	record := &ledgerv1.Record{Kind: &ledgerv1.Record_Renewal{Renewal: &ledgerv1.Renewal{ReadOffset: act.ReadOffset}}}
	receipt, err := o.client.Submit(ctx, record, logclient.Immediate)
	if err != nil || ignored(receipt.Events) {
		o.handle(ownership.AppendFailed{})
		return
	}
	o.handle(ownership.RenewalAccepted{SentAt: o.clock.sinceStart(receipt.SentAt), Offset: receipt.Offset})
}

// claim appends a claim to a shard. Its effect is read from the ledger.
func (o *ownershipDriver) claim(ctx context.Context, act ownership.AppendClaim) {
	_, err := o.client.Submit(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Claim{
		Claim: &ledgerv1.Claim{Shard: act.Shard, Supersedes: act.Supersedes}}}, logclient.Immediate)
	if err != nil {
		o.log.Debug("Claim could not be appended to the log.", "shard", act.Shard, "error", err)
	}
}

// evict appends the eviction of a member that has not renewed in time.
func (o *ownershipDriver) evict(ctx context.Context, act ownership.AppendEvict) {
	_, err := o.record.appendEffective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Evict{
		Evict: &ledgerv1.Evict{Node: act.Node, Incarnation: act.Incarnation, LastRenewalOffset: act.LastRenewal}}})
	if err == nil {
		o.log.Warn("Member was evicted because it did not renew in time.", "node", act.Node, "incarnation", act.Incarnation)
	}
}

// release appends the release of a shard to its successor and reports a refusal to
// the ownership manager.
func (o *ownershipDriver) release(ctx context.Context, act ownership.AppendRelease) {
	_, err := o.record.appendEffective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Release{
		Release: &ledgerv1.Release{Shard: act.Shard, Token: act.Token, Successor: act.Successor}}})
	if err != nil && verdict.Of(err) == verdict.DidNotRun {
		o.handle(ownership.ReleaseRefused{ShardToken: act.ShardToken})
	}
}

// requestOutageConfirmations asks peers whether they cannot reach the log either.
func (o *ownershipDriver) requestOutageConfirmations(act ownership.RequestConfirmations) {
	req := &peerv1.ConfirmOutageRequest{Node: o.self.Node, Incarnation: o.self.Incarnation}
	for _, t := range act.Shards {
		req.Shards = append(req.Shards, &peerv1.ShardToken{Shard: t.Shard, Token: t.Token})
	}
	for _, node := range act.To {
		o.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
			defer cancel()
			resp, err := o.peers.ConfirmOutage(ctx, node, req)
			if err != nil {
				return
			}
			superseded := shardTokens(resp.Superseded)
			if resp.Confirmed {
				o.handle(ownership.OutageConfirmed{Round: act.Round, From: node, Superseded: superseded})
			} else {
				o.handle(ownership.OutageDenied{Round: act.Round, From: node, Superseded: superseded})
			}
		})
	}
}

// requestAcks asks peers to acknowledge a claim.
func (o *ownershipDriver) requestAcks(act ownership.RequestAcks) {
	req := &peerv1.AcknowledgeClaimRequest{Node: o.self.Node, Shard: act.Shard, Token: act.Token}
	for _, node := range act.To {
		o.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
			defer cancel()
			resp, err := o.peers.AcknowledgeClaim(ctx, node, req)
			if err == nil && resp.Acknowledged {
				o.handle(ownership.ClaimAcknowledged{From: node, ShardToken: act.ShardToken})
			}
		})
	}
}

// query passes the query of a peer to the ownership manager and returns its
// reply.
func (o *ownershipDriver) query(ctx context.Context, event func(id uint64) ownership.Event) (ownership.Action, error) {
	ch := make(chan ownership.Action, 1)
	o.mu.Lock()
	o.nextID++
	id := o.nextID
	o.pendingReplies[id] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.pendingReplies, id)
		o.mu.Unlock()
	}()
	o.handle(event(id))
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reply delivers a reply to the query that waits for it.
func (o *ownershipDriver) reply(id uint64, a ownership.Action) {
	o.mu.Lock()
	ch := o.pendingReplies[id]
	o.mu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// shardTokens converts shards and their fencing tokens from their protocol form.
func shardTokens(in []*peerv1.ShardToken) []ownership.ShardToken {
	out := make([]ownership.ShardToken, 0, len(in))
	for _, t := range in {
		out = append(out, ownership.ShardToken{Shard: t.GetShard(), Token: t.GetToken()})
	}
	return out
}
