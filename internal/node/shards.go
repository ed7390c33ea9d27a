package node

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/lease"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/lending"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// attemptsPerEpoch is the size of the range of attempt numbers of one ownership
// epoch. Separate ranges prevent a report about an earlier owner's attempt from
// being mistaken for a newer one.
const attemptsPerEpoch = 4096

// ownedShard is one shard that this process owns.
type ownedShard struct {
	name  string
	token uint64
	// nextOffset is the offset of the first ledger record whose events are to
	// be applied: earlier ones are part of the state at the start.
	nextOffset uint64
	// inheritedBefore is the offset below which accepted jobs may have tasks
	// started by an earlier owner, or by this process before an interruption.
	inheritedBefore uint64
	dispatcher      *dispatch.Dispatcher
	lender          *lender

	summaryMu     sync.Mutex
	summaryAt     time.Duration
	cachedSummary scheduler.Summary
}

// maxSummaryAge is the maximum age of a cached summary. The cost of a summary
// grows with hosts and jobs, and submissions, exchanges and lending all need it.
const maxSummaryAge = 100 * time.Millisecond

// summary returns the totals of the shard, at most maxSummaryAge old.
func (o *ownedShard) summary(now time.Duration) scheduler.Summary {
	o.summaryMu.Lock()
	defer o.summaryMu.Unlock()
	if o.summaryAt == 0 || now-o.summaryAt > maxSummaryAge {
		o.cachedSummary, o.summaryAt = o.dispatcher.Summary(), now
	}
	return o.cachedSummary
}

// shards holds the shards that this process owns.
type shards struct {
	node *Node

	mu    sync.Mutex
	owned map[string]*ownedShard
	// stopped holds the shards whose dispatcher this process has stopped but may
	// start again under the same token.
	stopped map[string]stoppedShard
	// acceptedAt is when this process read the acceptance of each open job.
	acceptedAt map[work.JobID]time.Duration

	// openMoves counts, by shard, the moves of tasks whose outcome is not known.
	// Their tasks belong to neither shard.
	openMoves map[string]int

	queue *eventQueue
}

// stoppedShard is the state at which this process last stopped the dispatcher
// of a shard: the time, the ledger offset and the highest attempt number.
type stoppedShard struct {
	token    uint64
	at       time.Duration
	offset   uint64
	attempts int32
	// lender holds the transfers of units whose outcome is not known.
	lender *lender
}

func newShards(n *Node) *shards {
	return &shards{
		node: n, owned: map[string]*ownedShard{}, stopped: map[string]stoppedShard{},
		acceptedAt: map[work.JobID]time.Duration{}, openMoves: map[string]int{}, queue: newEventQueue(),
	}
}

// loop applies ledger events to the shards in order until ctx ends.
func (s *shards) loop(ctx context.Context) {
	for {
		events, ok := s.queue.take(ctx)
		if !ok {
			return
		}
		s.mu.Lock()
		for _, e := range events {
			s.apply(e)
		}
		s.mu.Unlock()
	}
}

// start starts the dispatcher of a shard from the state in the ledger.
func (s *shards) start(t ownership.ShardToken) {
	n := s.node
	earlierAuthorityEnd := n.ownership.earlierAuthorityEnd(t.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The state is read under the lock. Events of later records are applied
	// after it, so that no event is missed or applied twice.
	state := n.replica.ShardState(t.Shard)
	if state.Claim.Token != t.Token || s.owned[t.Shard] != nil {
		return
	}
	if s.openMoves[t.Shard] > 0 {
		s.retryStart(t)
		return
	}
	o := &ownedShard{name: t.Shard, token: t.Token, nextOffset: state.NextOffset, inheritedBefore: t.Token}
	o.lender = &lender{state: lending.New()}
	attempts, quietUntil := int32(state.Claim.Epoch-1)*attemptsPerEpoch, time.Duration(0)
	if before, ok := s.stopped[t.Shard]; ok && before.token == t.Token {
		o.inheritedBefore, earlierAuthorityEnd, attempts = before.offset, max(earlierAuthorityEnd, before.at), before.attempts
		o.lender, quietUntil = before.lender, before.at+lease.SafeWait(worker.StampMaxAge)
	}
	options := s.options(o, earlierAuthorityEnd)
	options.AdoptNotBefore = quietUntil
	o.dispatcher = dispatch.New(options)
	o.dispatcher.Run()
	configuration := n.configurations.get()
	o.dispatcher.SetContract(configuration.contract)
	o.dispatcher.SetAllotments(n.usableUnits(o, n.replica.AllotmentState(t.Shard)))
	o.dispatcher.SetHosts(s.hostEntries(t.Shard, state.Hosts))
	for i := range state.Jobs {
		s.addJob(o, &state.Jobs[i], attempts)
	}
	s.owned[t.Shard] = o
	go s.addListedHosts(t.Shard)
}

// retryStart starts a shard later, when the outcome of its moves may be known. A
// move that took effect after the start would transfer tasks that were already
// started here.
func (s *shards) retryStart(t ownership.ShardToken) {
	go func() {
		if ctxtime.Sleep(s.node.ctx, movePollInterval) && s.node.ownership.authority(t.Shard, t.Token) {
			s.start(t)
		}
	}()
}

// offerInterval is how long tasks wait without capacity before another shard is
// looked for, and the interval of repeated attempts. A summary of a peer is at
// most 2 s old.
const offerInterval = 2 * time.Second

// movePollInterval is the wait before the start of a shard with open moves is
// retried.
const movePollInterval = 100 * time.Millisecond

// beginMove records a move of tasks whose outcome is not known. endMove removes it
// once the outcome is known.
func (s *shards) beginMove(shard string) { s.countMove(shard, 1) }

func (s *shards) endMove(shard string) { s.countMove(shard, -1) }

func (s *shards) countMove(shard string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openMoves[shard] += n; s.openMoves[shard] == 0 {
		delete(s.openMoves, shard)
	}
}

// options returns the dispatcher options of a shard.
func (s *shards) options(o *ownedShard, earlierAuthorityEnd time.Duration) dispatch.Options {
	n := s.node
	return dispatch.Options{
		Shard: o.name, Token: o.token, PreviousAuthorityEndsBy: earlierAuthorityEnd, Clock: n.clock.Now,
		Authority: func() bool { return n.ownership.authority(o.name, o.token) },
		Workers:   n.workers, Log: recorder{n.logClient},
		Offer:               func(offer scheduler.OfferTasks) { go n.moveTasks(o.name, offer) },
		MaxExchangeInterval: n.settings.Platform.WorkerInterval,
		Scheduler:           scheduler.New(scheduler.Options{OfferDelay: offerInterval, OfferInterval: offerInterval}),
		Logger:              n.componentLogger("dispatch"), Scope: n.scope.SubScope("dispatch"),
		Started: n.waitTimes.started,
	}
}

// stop stops the dispatcher of a shard and records the state that a later start
// under the same token needs.
func (s *shards) stop(t ownership.ShardToken) {
	s.mu.Lock()
	o := s.owned[t.Shard]
	if o == nil || o.token != t.Token {
		s.mu.Unlock()
		return
	}
	delete(s.owned, t.Shard)
	s.mu.Unlock()
	s.node.gangs.removeShard(o)
	o.dispatcher.Stop()
	s.mu.Lock()
	s.stopped[t.Shard] = stoppedShard{
		token: t.Token, at: s.node.clock.Now(), offset: s.node.replica.NextOffset(), attempts: o.dispatcher.HighestAttempt(), lender: o.lender,
	}
	s.mu.Unlock()
}

// quiesce stops task starts in a shard and waits until no intent or start is
// outstanding and all outcomes are logged.
func (s *shards) quiesce(ctx context.Context, t ownership.ShardToken) error {
	o := s.get(t.Shard)
	if o == nil || o.token != t.Token {
		return nil
	}
	return o.dispatcher.Quiesce(ctx)
}

// get returns a shard that this process owns, or nil.
func (s *shards) get(name string) *ownedShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[name]
}

// all returns the shards that this process owns.
func (s *shards) all() []*ownedShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*ownedShard, 0, len(s.owned))
	for _, o := range s.owned {
		out = append(out, o)
	}
	return out
}

// stopAll stops all shards without releasing them.
func (s *shards) stopAll() {
	for _, o := range s.all() {
		s.stop(ownership.ShardToken{Shard: o.name, Token: o.token})
	}
}

// addJob passes the parts of a job whose home is the shard to its dispatcher. The
// caller must hold s.mu.
func (s *shards) addJob(o *ownedShard, job *ledger.Job, attempts int32) {
	before := job.Accepted < o.inheritedBefore
	for _, p := range job.Parts {
		if p.Shard != o.name {
			continue
		}
		added := scheduler.JobAdded{
			Job: job.Job, First: p.First, Count: p.Count, Ended: map[int32]work.Outcome{},
			Intended: job.Intents, Age: s.age(job.Job.ID), Spanning: spanning(job.Job, job.Parts), Offset: job.Accepted,
		}
		if before {
			added.Attempts = max(attempts, 1)
		}
		for _, r := range job.Outcomes {
			for i := max(r.First, p.First); i < min(r.First+r.Count, p.First+p.Count); i++ {
				added.Ended[i] = r.Outcome
			}
		}
		o.dispatcher.AddJob(added, before)
	}
	s.node.gangs.add(o, job.Job, job.Parts)
	if job.Cancelled != 0 {
		o.dispatcher.Cancel(job.Job.ID)
	}
}

// age returns how long ago this process read the acceptance of a job, or 0 if it
// did not. The caller must hold s.mu.
func (s *shards) age(id work.JobID) time.Duration {
	if at, ok := s.acceptedAt[id]; ok {
		return s.node.clock.Now() - at
	}
	return 0
}

// ageOf is age for callers that do not hold s.mu.
func (s *shards) ageOf(id work.JobID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age(id)
}

// shardTokenOf returns the name and the fencing token of a shard.
func shardTokenOf(o *ownedShard) ownership.ShardToken {
	return ownership.ShardToken{Shard: o.name, Token: o.token}
}
