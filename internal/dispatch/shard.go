package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Shard drives the hosts and jobs of one shard while this process owns it.
type Shard struct {
	o   Options
	log *slog.Logger

	mu    sync.Mutex
	sched *scheduler.Scheduler
	hosts map[string]*host
	// initial are the hosts that the previous owner may have used and that are
	// not adopted yet.
	initial map[string]bool
	held    map[work.JobID]*heldJob
	intents []scheduler.StartTask
	ended   []endedTask
	reports map[work.TaskID]report
	fenced  bool
	// started is true once the hosts of the previous owner are known.
	started bool
	// draining stops new decisions before the shard is handed over.
	draining bool
	// paused is true while the configuration is not proved to be the last one.
	paused   bool
	contract scheduler.Contract
	// removed are hosts that are gone for good and still in the logged host set.
	removed        map[string]bool
	highestAttempt int32
	allotted       map[string]int64

	kick   chan struct{}
	intent chan struct{}
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// report is a finished attempt that its worker keeps until it is acknowledged.
type report struct {
	host string
	id   work.AttemptID
}

// endedTask is a fixed outcome that is not in the log yet.
type endedTask struct {
	task    work.TaskID
	outcome work.Outcome
}

// New returns a shard that does nothing until Run.
func New(o Options) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Shard{
		o: o, log: o.Logger, sched: o.Scheduler,
		hosts: map[string]*host{}, initial: map[string]bool{}, held: map[work.JobID]*heldJob{},
		reports: map[work.TaskID]report{}, removed: map[string]bool{},
		kick: make(chan struct{}, 1), intent: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel,
	}
}

// Run starts the goroutines of the shard.
func (s *Shard) Run() {
	s.wg.Add(3)
	go func() { defer s.wg.Done(); s.decideLoop() }()
	go func() { defer s.wg.Done(); s.intentLoop() }()
	go func() { defer s.wg.Done(); s.outcomeLoop() }()
}

// Stop ends all goroutines and waits for them. Nothing is sent afterwards.
func (s *Shard) Stop() {
	s.cancel()
	s.wg.Wait()
}

// Token returns the fencing token.
func (s *Shard) Token() uint64 { return s.o.Token }

// apply feeds one event to the scheduler. The lock must be held.
func (s *Shard) apply(ev scheduler.Event) { s.sched.Apply(s.o.Clock(), ev) }

// Apply feeds one event to the scheduler and lets it decide soon.
func (s *Shard) Apply(ev scheduler.Event) {
	s.mu.Lock()
	s.apply(ev)
	s.mu.Unlock()
	s.decideSoon()
}

// decideSoon wakes the decision loop without blocking.
func (s *Shard) decideSoon() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// SetHosts replaces the hosts of the shard. Hosts that may still run tasks
// are kept until their leases are over.
func (s *Shard) SetHosts(entries []HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		if s.removed[e.ID] {
			continue
		}
		h := s.hosts[e.ID]
		if h == nil {
			s.addHost(e)
			if !s.started {
				s.initial[e.ID] = true
			}
			continue
		}
		if h.entry != e {
			h.entry = e
			s.refreshHost(h)
		}
	}
	for id, h := range s.hosts {
		if !seen[id] && !h.entry.Leaving {
			h.entry.Leaving = true
			s.refreshHost(h)
		}
	}
	for id := range s.removed {
		if !seen[id] {
			delete(s.removed, id)
		}
	}
	s.started = true
	s.updateAllotments()
	s.decideSoon()
}

// addHost starts the exchange with a new host. The lock must be held.
func (s *Shard) addHost(e HostEntry) {
	h := newHost(e, s.o.Clock())
	s.hosts[e.ID] = h
	s.apply(scheduler.HostChanged{Host: h.description()})
	s.wg.Add(2)
	go func() { defer s.wg.Done(); s.pollLoop(h) }()
	go func() { defer s.wg.Done(); s.sendLoop(h) }()
}

// refreshHost tells the scheduler about a changed state. The lock must be held.
func (s *Shard) refreshHost(h *host) {
	if state := h.targetState(); state != h.state {
		s.log.Info("Host changed state.", "shard", s.o.Shard, "host", h.entry.ID, "from", h.state, "to", state)
		h.state = state
	}
	s.apply(scheduler.HostChanged{Host: h.description()})
}

// decideLoop lets the scheduler decide after events and at intervals.
func (s *Shard) decideLoop() {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.kick:
		case <-ticker.C:
			s.expire()
		}
		s.decide()
	}
}
