package owner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// hostListInterval is the time between two readings of the host list.
	hostListInterval = 100 * time.Millisecond
	// listEntryLifetime is how long a host is listed after a crash.
	listEntryLifetime = 3 * time.Second
	// simulationTail is how long a simulation goes on after the last claim.
	simulationTail = 16 * time.Second
)

// What the simulation leaves out, since it is known to let a task run twice.
const (
	// lateCallsReachLaterLifetimes is set if a call that is carried out late may reach a later
	// lifetime of its host, which has not seen a higher fencing token.
	lateCallsReachLaterLifetimes = false
	// ordersReachLaterLifetimes is set if an order of a former owner that still acts, meant for a
	// lifetime of a host before the claim of its successor, may reach a later one that has not
	// seen a higher fencing token.
	ordersReachLaterLifetimes = false
)

// simulation runs several owners in virtual time, one after the other, on the same hosts and
// the same log, and checks the runs on the hosts.
type simulation struct {
	plan      plan
	logTo     io.Writer
	startedAt time.Time
	durations map[string]time.Duration
	desired   *cell.Desired
	ledger    *runLedger

	// background holds the goroutines that are waited for at the end.
	background sync.WaitGroup

	mu      sync.Mutex
	moments map[moment]time.Duration
	hosts   []*protocolHost
	// crashedAt holds when a host last crashed.
	crashedAt map[*protocolHost]time.Duration
	log       *registry.Registry
	offset    uint64
	token     int64
}

func newSimulation(p plan, logTo io.Writer) *simulation {
	s := &simulation{
		plan: p, logTo: logTo, startedAt: time.Now(), durations: make(map[string]time.Duration), crashedAt: make(map[*protocolHost]time.Duration), moments: make(map[moment]time.Duration),
		desired: &cell.Desired{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", Stretch: 2}}}, log: registry.New(slog.New(slog.DiscardHandler)),
	}
	s.ledger = newRunLedger(s.now)
	for i, slowness := range p.slowness {
		h := &protocolHost{id: fmt.Sprintf("h%d", i), slowness: slowness, capacity: p.capacity, ledger: s.ledger}
		h.restart(s.now() - p.age)
		s.hosts = append(s.hosts, h)
	}
	s.ledger.hosts = s.hosts
	return s
}

// now returns the time of the simulation. It begins late enough for hosts that began before.
func (s *simulation) now() time.Duration { return time.Minute + time.Since(s.startedAt) }

func sleepFor(ctx context.Context, d time.Duration) bool { return ctxtime.Sleep(ctx, d) }

func (s *simulation) host(id string) (*protocolHost, int) {
	for i, h := range s.hosts {
		if h.id == id {
			return h, i
		}
	}
	panic("unknown host " + id)
}

// faultOf returns the fault of a call now.
func (s *simulation) faultOf(p *process, host int, kind callKind) plannedFault {
	if p.plan.unreachable == host {
		return plannedFault{kind: callCut}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.plan.faults {
		begin, ok := s.moments[f.after]
		concerned := (f.owner < 0 || f.owner == p.index) && (f.host < 0 || f.host == host) && (f.calls == anyCall || f.calls == kind)
		if ok && concerned && f.contains(s.now()-begin) {
			return f
		}
	}
	return plannedFault{}
}

// reach begins what is planned from a moment on.
func (s *simulation) reach(m moment) {
	s.mu.Lock()
	s.moments[m] = s.now()
	s.mu.Unlock()
	for i, j := range s.plan.jobs {
		if j.after == m {
			time.AfterFunc(j.at, func() { s.submit(i, j) })
		}
	}
	for _, c := range s.plan.crashes {
		if c.after == m {
			s.background.Go(func() { s.crash(c) })
		}
	}
}

// carryOut carries out a call on a host, unless that is down.
func (s *simulation) carryOut(h *protocolHost, call func(*protocolHost) networkAnswer) (a networkAnswer, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.up {
		return a, false
	}
	return call(h), true
}

// deliverLate carries out a call after a delay.
func (s *simulation) deliverLate(h *protocolHost, delay time.Duration, call func(*protocolHost) networkAnswer) {
	s.mu.Lock()
	lifetime := h.bornAt
	s.mu.Unlock()
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if h.up && (lateCallsReachLaterLifetimes || h.bornAt == lifetime) {
			call(h)
		}
	})
}

// append stores records under a fencing token. It reports whether that was not fenced.
func (s *simulation) append(token int64, records []platform.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.token {
		return false
	}
	for _, r := range records {
		s.offset++
		r.Offset = s.offset
		s.log.Apply(r)
	}
	return true
}

// listed returns the host list.
func (s *simulation) listed() (list []cell.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, h := range s.hosts {
		missing, leaving := s.entryOf(i)
		if missing || !h.up && s.now() > s.crashedAt[h]+listEntryLifetime {
			continue
		}
		size := resource.Vector{MilliCPU: 1000 * int64(h.capacity), MemoryMiB: 65536}
		list = append(list, cell.Host{ID: h.id, Service: "s", Address: h.id, Capacity: size, StartedMs: h.lifetime(), Leaving: leaving})
	}
	return list
}

// entryOf returns what the plan says of the list entry of a host now.
func (s *simulation) entryOf(host int) (missing, leaving bool) {
	for _, e := range s.plan.entries {
		begin, ok := s.moments[e.after]
		if ok && e.host == host && e.contains(s.now()-begin) {
			missing, leaving = missing || !e.leaving, leaving || e.leaving
		}
	}
	return missing, leaving
}

// submit stores a submission.
func (s *simulation) submit(number int, j plannedJob) {
	step := cell.Step{Count: j.tasks, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 16}, Estimate: j.duration}
	sub := &cell.Submission{ID: fmt.Sprintf("j%d", number), Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{step}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset++
	r := registry.SubmissionRecord(sub)
	r.Offset = s.offset
	s.log.Apply(r)
}

// claim begins the term of the process with an index. former is the one of the term before.
func (s *simulation) claim(index int, former *process) *process {
	t := s.plan.terms[index]
	sentAt := s.now()
	s.mu.Lock()
	previous, _ := s.log.Owner()
	s.token = registry.NextToken(s.token)
	p := &process{s: s, index: index, plan: t, self: registry.Ownership{Node: fmt.Sprintf("n%d", index), InstanceID: "i", Token: s.token, FirstSequence: int64(index + 1)}}
	s.offset++
	r, offset := registry.OwnershipRecord(p.self), s.offset
	s.log.SetListener(nil) // the former owner's term ends before its process reads on
	if former != nil {
		former.succeededAt, former.successorOffset = sentAt, offset
	}
	r.Offset = offset
	s.log.Apply(r)
	s.ledger.note("owner %d claims, former %+v", index, previous)
	s.mu.Unlock()
	s.reach(moment{index, false})
	time.Sleep(t.claimAnswer)
	for _, f := range t.freezes {
		f.from, f.to = sentAt+f.from, sentAt+f.to
		p.freeze(f)
	}
	client := &simulatedClient{s: s, p: p, connected: make(map[*platform.HostConnection]int64)}
	p.owner = New(Options{
		Self: p.self, Clock: p, WallClock: s.now, Log: slog.New(slog.NewTextHandler(s.logTo, nil)).With("owner", index), HostClient: client, Journal: p,
		Desired: func() *cell.Desired { return s.desired }, Stored: p.stored, ClaimOffset: offset, ClaimSent: sentAt, ClaimedAt: s.now(),
		EarlierOwnersGone: func() bool { return former == nil || former.isGone(previous) }, MaxLease: testMaxLease, RetentionPeriod: time.Hour, GangTimeout: time.Second,
	})
	s.log.SetListener(p.owner)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	stored := s.log.Hosts()
	s.background.Go(func() { p.run(ctx, stored) })
	return p
}

// endTerm lets the term of a process end, and returns when its successor may claim.
func (s *simulation) endTerm(p *process) {
	t := p.plan
	time.Sleep(t.length)
	s.reach(moment{p.index, true})
	time.Sleep(t.notice)
	switch t.cause {
	case ownerKilled:
		p.cancel()
		s.ledgerNote("owner %d is killed", p.index)
		p.replacedAt.Store(int64(s.now() + t.aftermath))
		time.Sleep(t.lead)
	case ownerStopped:
		s.ledgerNote("owner %d stops", p.index)
		p.stop()
		s.ledgerNote("owner %d has stopped", p.index)
	case ownerFrozen:
		s.ledgerNote("owner %d stands still until %s after the next claim", p.index, t.aftermath)
		f := t.lastFreeze
		f.span = span{s.now(), s.now() + t.lead + t.aftermath}
		p.freeze(f)
		time.Sleep(t.lead)
		time.AfterFunc(t.aftermath+t.hearsAfter, p.cancel)
	case ownerDeposed:
		p.cutFromStore.Store(t.cutFromStore)
		time.Sleep(t.lead)
		time.AfterFunc(t.hearsAfter, p.cancel)
	}
}

func (s *simulation) ledgerNote(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.note(format, args...)
}

// crash crashes a host and lets it come back.
func (s *simulation) crash(c plannedCrash) {
	h := s.hosts[c.host]
	time.Sleep(c.from)
	s.mu.Lock()
	if !h.up {
		s.mu.Unlock()
		return
	}
	h.crash(s.now())
	s.crashedAt[h] = s.now()
	s.ledger.note("%s crashes", h.id)
	s.mu.Unlock()
	time.Sleep(c.to - c.from)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.restart(s.now())
	s.ledger.note("%s is back", h.id)
}

// play plays the plan.
func (s *simulation) play() {
	for i, j := range s.plan.jobs {
		s.durations[fmt.Sprintf("j%d", i)] = j.duration
	}
	var processes []*process
	var former *process
	for i := range s.plan.terms {
		if former != nil {
			s.endTerm(former)
		}
		former = s.claim(i, former)
		processes = append(processes, former)
	}
	time.Sleep(simulationTail)
	for _, p := range processes {
		p.cancel()
	}
	s.background.Wait()
}
