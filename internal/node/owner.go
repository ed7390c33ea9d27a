package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

const (
	// ownerTick is how often the ownership rules see the time pass.
	ownerTick = 100 * time.Millisecond
	// appendTimeout bounds the wait for a record about ownership.
	appendTimeout = 5 * time.Second
	// askTimeout bounds a question to a peer about ownership.
	askTimeout = 900 * time.Millisecond
)

// owner drives the ownership rules of the process: it feeds them events and
// carries out their actions.
type owner struct {
	clock   clock
	replica *ledger.Replica
	client  *logclient.Client
	record  recorder
	peers   peerCaller
	self    ownership.Identity
	log     *slog.Logger
	// start, stop and handOver are called without the lock, in order.
	start    func(ownership.ShardToken)
	stop     func(ownership.ShardToken)
	handOver func(ctx context.Context, t ownership.ShardToken) error

	mu      sync.Mutex
	manager *ownership.Manager
	replies map[uint64]chan ownership.Action
	nextID  uint64

	kick  chan struct{}
	ready chan struct{}
	once  sync.Once
	// actions are the starts and stops of shards that wait to be carried out.
	actions chan ownership.Action
	ctx     context.Context
	wg      sync.WaitGroup
}

// maxShardActions bounds the starts and stops that wait to be carried out.
const maxShardActions = 4096

// run feeds time and ledger state to the rules until ctx ends.
func (o *owner) run(ctx context.Context) {
	o.ctx = ctx
	o.wg.Add(1)
	go func() { defer o.wg.Done(); o.carryOut(ctx) }()
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	lastRead := logclient.Never
	for {
		select {
		case <-ctx.Done():
			o.wg.Wait()
			return
		case <-o.kick:
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

// ledgerChanged lets the rules look at the ledger soon.
func (o *owner) ledgerChanged() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// shardsKnown passes on the shards that the host list shows.
func (o *owner) shardsKnown(shards []ownership.Shard) {
	o.handle(ownership.ShardsKnown{Shards: shards})
}

// handle feeds one event to the rules and dispatches the actions.
func (o *owner) handle(e ownership.Event) {
	o.mu.Lock()
	actions := o.manager.Handle(o.clock.Now(), e)
	o.mu.Unlock()
	for _, a := range actions {
		o.dispatch(a)
	}
}

// authority reports whether this process may act for a shard under a token.
func (o *owner) authority(shard string, token uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, _, ok := o.manager.Authority(shard, o.clock.Now())
	return ok && current == token
}

// safeAt returns when the authority of earlier owners of a shard was over.
func (o *owner) safeAt(shard string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, ok := o.manager.OldAuthorityOver(shard); ok {
		return at
	}
	return o.clock.Now()
}

// dispatch carries out one action. Nothing here blocks.
func (o *owner) dispatch(a ownership.Action) {
	switch act := a.(type) {
	case ownership.AppendRenewal:
		o.spawn(func(ctx context.Context) { o.renew(ctx, act) })
	case ownership.AppendClaim:
		o.spawn(func(ctx context.Context) { o.claim(ctx, act) })
	case ownership.AppendEvict:
		o.spawn(func(ctx context.Context) { o.evict(ctx, act) })
	case ownership.AppendRelease:
		o.spawn(func(ctx context.Context) { o.release(ctx, act) })
	case ownership.AskOutage:
		o.askOutage(act)
	case ownership.AskAck:
		o.askAck(act)
	case ownership.StartActing, ownership.StopActing, ownership.HandOver:
		o.actions <- a
	case ownership.ConfirmReply:
		o.reply(act.ID, act)
	case ownership.AckReply:
		o.reply(act.ID, act)
	case ownership.LeaveReady:
		o.once.Do(func() { close(o.ready) })
	}
}

// spawn runs f until the process stops or the append times out.
func (o *owner) spawn(f func(ctx context.Context)) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		ctx, cancel := context.WithTimeout(o.ctx, appendTimeout)
		defer cancel()
		f(ctx)
	}()
}

// carryOut starts and stops shards in the order in which the rules say so.
func (o *owner) carryOut(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-o.actions:
			switch act := a.(type) {
			case ownership.StartActing:
				o.log.Info("Shard is owned.", "shard", act.Shard, "token", act.Token)
				o.start(act.ShardToken)
			case ownership.StopActing:
				o.log.Info("Shard is given up.", "shard", act.Shard, "token", act.Token, "reason", act.Reason)
				o.stop(act.ShardToken)
			case ownership.HandOver:
				o.log.Info("Shard is handed over.", "shard", act.Shard, "token", act.Token, "successor", act.Successor)
				o.spawnHandOver(act)
			}
		}
	}
}

// spawnHandOver waits for the dispatcher and reports.
func (o *owner) spawnHandOver(act ownership.HandOver) {
	o.spawn(func(ctx context.Context) {
		if err := o.handOver(ctx, act.ShardToken); err != nil {
			o.log.Warn("Shard has commands outstanding.", "shard", act.Shard, "error", err)
			return
		}
		o.handle(ownership.HandedOver{ShardToken: act.ShardToken})
	})
}

// renew appends a renewal and reports when it was sent.
func (o *owner) renew(ctx context.Context, act ownership.AppendRenewal) {
	record := &ledgerv1.Record{Kind: &ledgerv1.Record_Renewal{Renewal: &ledgerv1.Renewal{ReadOffset: act.ReadOffset}}}
	receipt, err := o.client.Submit(ctx, record, logclient.Immediate)
	if err != nil || ignored(receipt.Events) {
		o.handle(ownership.AppendFailed{})
		return
	}
	o.handle(ownership.RenewalAccepted{SentAt: o.clock.at(receipt.SentAt), Offset: receipt.Offset})
}

// claim appends a claim. Its effect is read from the ledger.
func (o *owner) claim(ctx context.Context, act ownership.AppendClaim) {
	_, err := o.client.Submit(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Claim{
		Claim: &ledgerv1.Claim{Shard: act.Shard, Supersedes: act.Supersedes}}}, logclient.Immediate)
	if err != nil {
		o.log.Debug("Claim was not logged.", "shard", act.Shard, "error", err)
	}
}

// evict appends the eviction of a silent member.
func (o *owner) evict(ctx context.Context, act ownership.AppendEvict) {
	_, err := o.record.effective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Evict{
		Evict: &ledgerv1.Evict{Node: act.Node, Incarnation: act.Incarnation, LastRenewalOffset: act.LastRenewal}}})
	if err == nil {
		o.log.Warn("Silent member was evicted.", "node", act.Node, "incarnation", act.Incarnation)
	}
}

// release appends the release of a shard.
func (o *owner) release(ctx context.Context, act ownership.AppendRelease) {
	_, err := o.record.effective(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Release{
		Release: &ledgerv1.Release{Shard: act.Shard, Token: act.Token, Successor: act.Successor}}})
	if err != nil && verdict.Of(err) == verdict.DidNotRun {
		o.handle(ownership.ReleaseRefused{ShardToken: act.ShardToken})
	}
}

// askOutage asks peers whether the log is away for them as well.
func (o *owner) askOutage(act ownership.AskOutage) {
	req := &peerv1.ConfirmOutageRequest{Node: o.self.Node, Incarnation: o.self.Incarnation}
	for _, t := range act.Shards {
		req.Shards = append(req.Shards, &peerv1.ShardToken{Shard: t.Shard, Token: t.Token})
	}
	for _, node := range act.To {
		o.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// askAck asks peers to acknowledge a claim.
func (o *owner) askAck(act ownership.AskAck) {
	req := &peerv1.AcknowledgeClaimRequest{Node: o.self.Node, Shard: act.Shard, Token: act.Token}
	for _, node := range act.To {
		o.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			resp, err := o.peers.AcknowledgeClaim(ctx, node, req)
			if err == nil && resp.Acknowledged {
				o.handle(ownership.ClaimAcknowledged{From: node, ShardToken: act.ShardToken})
			}
		})
	}
}

// ask feeds the question of a peer to the rules and returns their reply.
func (o *owner) ask(ctx context.Context, event func(id uint64) ownership.Event) (ownership.Action, error) {
	ch := make(chan ownership.Action, 1)
	o.mu.Lock()
	o.nextID++
	id := o.nextID
	o.replies[id] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.replies, id)
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

// reply passes an answer to the peer that waits for it.
func (o *owner) reply(id uint64, a ownership.Action) {
	o.mu.Lock()
	ch := o.replies[id]
	o.mu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// shardTokens converts tokens from the wire.
func shardTokens(in []*peerv1.ShardToken) []ownership.ShardToken {
	out := make([]ownership.ShardToken, 0, len(in))
	for _, t := range in {
		out = append(out, ownership.ShardToken{Shard: t.GetShard(), Token: t.GetToken()})
	}
	return out
}
