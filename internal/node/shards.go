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

// attemptsPerEpoch separates the attempt numbers of successive owners, so that
// a report of an earlier owner's attempt is never taken for a newer one.
const attemptsPerEpoch = 4096

// ownedShard is one shard that this process acts for.
type ownedShard struct {
	name  string
	token uint64
	// next is the offset of the first ledger record that is not applied yet.
	next uint64
	// knownBefore is the offset below which an earlier owner, or this process
	// before an interruption, may have started tasks.
	knownBefore uint64
	run         *dispatch.Shard
	lender      *lender

	summaryMu sync.Mutex
	summaryAt time.Duration
	cached    scheduler.Summary
}

// summaryAge bounds the age of a summary. Its cost grows with hosts and jobs,
// and submissions, exchanges and lending all need it.
const summaryAge = 100 * time.Millisecond

// summary returns the totals of the shard, at most summaryAge old.
func (o *ownedShard) summary(now time.Duration) scheduler.Summary {
	o.summaryMu.Lock()
	defer o.summaryMu.Unlock()
	if o.summaryAt == 0 || now-o.summaryAt > summaryAge {
		o.cached, o.summaryAt = o.run.Summary(), now
	}
	return o.cached
}

// shards holds the shards that this process acts for.
type shards struct {
	node *Node

	mu    sync.Mutex
	owned map[string]*ownedShard
	// stopped is when, and below which offset, this process last stopped to act
	// for a shard that it may get back under the same token.
	stopped map[string]stoppedShard
	// seen is when this process read the acceptance of an open job.
	seen map[work.JobID]time.Duration

	// moving counts, by shard, the moves whose fate is open. Their tasks belong
	// to neither shard.
	moving map[string]int

	queue *eventQueue
}

// stoppedShard describes an interruption of ownership.
type stoppedShard struct {
	token    uint64
	at       time.Duration
	offset   uint64
	attempts int32
	// lender knows the transfers whose fate is open.
	lender *lender
}

func newShards(n *Node) *shards {
	return &shards{
		node: n, owned: map[string]*ownedShard{}, stopped: map[string]stoppedShard{},
		seen: map[work.JobID]time.Duration{}, moving: map[string]int{}, queue: newEventQueue(),
	}
}

// loop applies ledger events to the shards in order.
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

// start begins to act for a shard.
func (s *shards) start(t ownership.ShardToken) {
	n := s.node
	safeAt := n.owner.safeAt(t.Shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The state is read under the lock: events of later records are applied
	// after it, so none is missed and none is applied twice.
	state := n.replica.ShardState(t.Shard)
	if state.Claim.Token != t.Token || s.owned[t.Shard] != nil {
		return
	}
	if s.moving[t.Shard] > 0 {
		s.startLater(t)
		return
	}
	o := &ownedShard{name: t.Shard, token: t.Token, next: state.NextOffset, knownBefore: t.Token}
	o.lender = &lender{book: lending.New()}
	attempts, quietUntil := int32(state.Claim.Epoch-1)*attemptsPerEpoch, time.Duration(0)
	if before, ok := s.stopped[t.Shard]; ok && before.token == t.Token {
		o.knownBefore, safeAt, attempts = before.offset, max(safeAt, before.at), before.attempts
		o.lender, quietUntil = before.lender, before.at+lease.Bound(worker.StampMaxAge)
	}
	options := s.options(o, safeAt)
	options.QuietUntil = quietUntil
	o.run = dispatch.New(options)
	o.run.Run()
	configuration := n.configurations.get()
	o.run.SetContract(configuration.contract)
	o.run.SetAllotments(n.usableUnits(o, n.replica.AllotmentState(t.Shard)))
	o.run.SetHosts(s.entries(t.Shard, state.Hosts))
	for i := range state.Jobs {
		s.addJob(o, &state.Jobs[i], attempts)
	}
	s.owned[t.Shard] = o
	go s.addListedHosts(t.Shard)
}

// startLater tries again to act for a shard once its moves are settled. A move
// that is applied later would give away tasks that were started here.
func (s *shards) startLater(t ownership.ShardToken) {
	go func() {
		if ctxtime.Sleep(s.node.ctx, movePoll) && s.node.owner.authority(t.Shard, t.Token) {
			s.start(t)
		}
	}()
}

// offerInterval is how long tasks wait without room before another shard is
// looked for, and how often that is repeated. A summary of a peer is 2 s old at most.
const offerInterval = 2 * time.Second

// movePoll is how often a shard that waits for its moves looks at them.
const movePoll = 100 * time.Millisecond

// beginMove notes a move whose fate is open; endMove that it is settled.
func (s *shards) beginMove(shard string) { s.countMove(shard, 1) }

func (s *shards) endMove(shard string) { s.countMove(shard, -1) }

func (s *shards) countMove(shard string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moving[shard] += n; s.moving[shard] == 0 {
		delete(s.moving, shard)
	}
}

// options returns the options of a dispatcher.
func (s *shards) options(o *ownedShard, safeAt time.Duration) dispatch.Options {
	n := s.node
	return dispatch.Options{
		Shard: o.name, Token: o.token, SafeAt: safeAt, Clock: n.clock.Now,
		Authority: func() bool { return n.owner.authority(o.name, o.token) },
		Workers:   n.workers, Log: recorder{n.logClient},
		Offer:     func(offer scheduler.OfferTasks) { go n.moveTasks(o.name, offer) },
		Interval:  n.settings.Platform.WorkerInterval,
		Scheduler: scheduler.New(scheduler.Options{OfferAfter: offerInterval, OfferEvery: offerInterval}),
		Logger:    n.partLog("dispatch"), Scope: n.scope.SubScope("dispatch"),
		Started: n.waits.started,
	}
}

// stop ends to act for a shard and remembers what may have been done.
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
	o.run.Stop()
	s.mu.Lock()
	s.stopped[t.Shard] = stoppedShard{
		token: t.Token, at: s.node.clock.Now(), offset: s.node.replica.NextOffset(), attempts: o.run.HighestAttempt(), lender: o.lender,
	}
	s.mu.Unlock()
}

// handOver stops starts and waits until nothing is outstanding.
func (s *shards) handOver(ctx context.Context, t ownership.ShardToken) error {
	o := s.get(t.Shard)
	if o == nil || o.token != t.Token {
		return nil
	}
	return o.run.Quiesce(ctx)
}

// get returns a shard that this process acts for, or nil.
func (s *shards) get(name string) *ownedShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned[name]
}

// all returns the shards that this process acts for.
func (s *shards) all() []*ownedShard {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*ownedShard, 0, len(s.owned))
	for _, o := range s.owned {
		out = append(out, o)
	}
	return out
}

// stopAll stops all shards at once, without release.
func (s *shards) stopAll() {
	for _, o := range s.all() {
		s.stop(ownership.ShardToken{Shard: o.name, Token: o.token})
	}
}

// addJob gives the parts of a job that are at home in a shard to its
// dispatcher. The lock must be held.
func (s *shards) addJob(o *ownedShard, job *ledger.Job, attempts int32) {
	before := job.Accepted < o.knownBefore
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
		o.run.AddJob(added, before)
	}
	s.node.gangs.add(o, job.Job, job.Parts)
	if job.Cancelled != 0 {
		o.run.Cancel(job.Job.ID)
	}
}

// age returns how long ago this process read the acceptance of a job.
func (s *shards) age(id work.JobID) time.Duration {
	if at, ok := s.seen[id]; ok {
		return s.node.clock.Now() - at
	}
	return 0
}

// ageOf is age for callers without the lock.
func (s *shards) ageOf(id work.JobID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age(id)
}

// ownerToken returns the name and token of a shard.
func ownerToken(o *ownedShard) ownership.ShardToken {
	return ownership.ShardToken{Shard: o.name, Token: o.token}
}
