package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Dispatcher manages the hosts and jobs of one shard while this process owns
// it. It is safe for concurrent use.
type Dispatcher struct {
	o   Options
	log *slog.Logger

	mu    sync.Mutex
	sched *scheduler.Scheduler
	hosts map[string]*host
	// unadopted are the hosts that the previous owner may have used and that are
	// not adopted yet.
	unadopted        map[string]bool
	withheldJobs     map[work.JobID]*withheldJob
	pendingIntents   []scheduler.StartTask
	unloggedOutcomes []taskOutcome
	reports          map[work.TaskID]report
	fenced           bool
	// hostsKnown is set once the hosts of the previous owner are known.
	hostsKnown bool
	// draining stops scheduling before the shard is released.
	draining bool
	// paused is set while starts are paused because the configuration is not known
	// to be the latest one.
	paused   bool
	contract scheduler.Contract
	// removedHosts are the hosts that were permanently removed and are still in the
	// logged host set.
	removedHosts   map[string]bool
	highestAttempt int32
	allottedUnits  map[string]int64

	decideSignal chan struct{}
	intentSignal chan struct{}
	wg           sync.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc
}

// report is a finished attempt that its worker keeps until it is acknowledged.
type report struct {
	host string
	id   work.AttemptID
}

// taskOutcome is the final outcome of a task.
type taskOutcome struct {
	task    work.TaskID
	outcome work.Outcome
}

// New returns a Dispatcher that is inactive until Run is called.
func New(o Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		o: o, log: o.Logger, sched: o.Scheduler,
		hosts: map[string]*host{}, unadopted: map[string]bool{}, withheldJobs: map[work.JobID]*withheldJob{},
		reports: map[work.TaskID]report{}, removedHosts: map[string]bool{},
		decideSignal: make(chan struct{}, 1), intentSignal: make(chan struct{}, 1),
		ctx: ctx, cancel: cancel,
	}
}

// Run starts the goroutines of the Dispatcher.
func (s *Dispatcher) Run() {
	s.wg.Add(3)
	go func() { defer s.wg.Done(); s.decideLoop() }()
	go func() { defer s.wg.Done(); s.intentLoop() }()
	go func() { defer s.wg.Done(); s.outcomeLoop() }()
}

// Stop ends all goroutines and waits for them. Nothing is sent to workers
// afterwards.
func (s *Dispatcher) Stop() {
	s.cancel()
	s.wg.Wait()
}

// Token returns the fencing token of this owner.
func (s *Dispatcher) Token() uint64 { return s.o.Token }

// apply applies one event to the scheduler. s.mu must be held.
func (s *Dispatcher) apply(ev scheduler.Event) { s.sched.Apply(s.o.Clock(), ev) }

// Apply applies one event to the scheduler and requests a scheduling pass.
func (s *Dispatcher) Apply(ev scheduler.Event) {
	s.mu.Lock()
	s.apply(ev)
	s.mu.Unlock()
	s.requestDecision()
}

// requestDecision wakes decideLoop without blocking.
func (s *Dispatcher) requestDecision() {
	select {
	case s.decideSignal <- struct{}{}:
	default:
	}
}

// SetHosts replaces the hosts of the shard. Hosts that are not in entries count as
// leaving; those that may still run tasks are kept until their leases expire.
func (s *Dispatcher) SetHosts(entries []HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	seen := map[string]bool{}
	for _, e := range entries {
		seen[e.ID] = true
		if s.removedHosts[e.ID] {
			continue
		}
		h := s.hosts[e.ID]
		if h == nil {
			s.addHost(e)
			if !s.hostsKnown {
				s.unadopted[e.ID] = true
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
	for id := range s.removedHosts {
		if !seen[id] {
			delete(s.removedHosts, id)
		}
	}
	s.hostsKnown = true
	s.updateAllotments()
	s.requestDecision()
}

// addHost adds a host and starts the goroutines that exchange messages with it.
// s.mu must be held.
func (s *Dispatcher) addHost(e HostEntry) {
	h := newHost(e, s.o.Clock())
	s.hosts[e.ID] = h
	s.apply(scheduler.HostChanged{Host: h.description()})
	s.wg.Add(2)
	go func() { defer s.wg.Done(); s.pollLoop(h) }()
	go func() { defer s.wg.Done(); s.sendLoop(h) }()
}

// refreshHost passes the current state of a host to the scheduler. s.mu must be
// held.
func (s *Dispatcher) refreshHost(h *host) {
	if state := h.schedulerState(); state != h.state {
		s.log.Info("State of the host has changed.", "shard", s.o.Shard, "host", h.entry.ID, "from", h.state, "to", state)
		h.state = state
	}
	s.apply(scheduler.HostChanged{Host: h.description()})
}

// decideLoop runs a scheduling pass after events and at least once per
// maxDecisionInterval.
func (s *Dispatcher) decideLoop() {
	ticker := time.NewTicker(maxDecisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.decideSignal:
		case <-ticker.C:
			s.expireLeases()
		}
		s.decide()
	}
}
