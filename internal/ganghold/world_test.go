package ganghold_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const step = 50 * time.Millisecond

var hostSize = resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}

// run is one execution of a task on a host.
type run struct {
	size resource.Vector
	ends time.Duration
}

// shard is a simulated shard with a real scheduler. Its hosts outlive its owner.
type shard struct {
	name      string
	clockRate float64
	owned     bool
	epoch     int32
	sched     *scheduler.Scheduler
	hosts     map[string]map[work.AttemptID]run
	reports   map[work.AttemptID]scheduler.TaskEnded
	// granted holds, per gang, the latest granted hold with its expiry on the
	// owner's clock.
	granted map[work.JobID]grant
	units   int64
}

type grant struct {
	id    string
	until time.Duration
}

// gang is a gang with the actual states of its tasks.
type gang struct {
	job          work.Job
	parts        map[string][2]int32
	offset       uint64
	coordinator  *ganghold.Coordinator
	outcomes     map[int32]work.Outcome
	intents      map[int32]int32
	succeeded    map[int32]bool
	started      map[int32]int
	partialSince time.Duration
}

// world is a simulation of shards, gangs and the network between them.
type world struct {
	now       time.Duration
	random    *rand.Rand
	shards    []*shard
	gangs     []*gang
	scheduled []scheduledCall
	faults    bool
	// taskDuration is drawn above and below maxPartialRun.
	taskDuration time.Duration
	// meanStepsBetweenCrashes is the mean number of steps between two crashes of
	// an owner.
	meanStepsBetweenCrashes int
	seq                     int
}

type scheduledCall struct {
	at  time.Duration
	seq int
	do  func()
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.scheduled = append(w.scheduled, scheduledCall{w.now + d, w.seq, do})
}

func (w *world) chance(percent int) bool { return w.faults && w.random.IntN(100) < percent }

// message delivers a message over a network that loses and delays some of them.
func (w *world) message(do func()) {
	switch {
	case w.chance(5):
	case w.chance(3):
		w.after(time.Duration(w.random.Int64N(int64(8*time.Second))), do)
	default:
		w.after(time.Duration(w.random.Int64N(int64(20*time.Millisecond))), do)
	}
}

func (s *shard) clock(w *world) time.Duration { return time.Duration(float64(w.now) * s.clockRate) }

func (s *shard) apply(w *world, e scheduler.Event) { s.sched.Apply(s.clock(w), e) }

// startOwner starts a new owner of the shard, which adopts the hosts and is given
// the jobs and the reports that no owner has received.
func (w *world) startOwner(s *shard) {
	s.owned, s.sched = true, scheduler.New(scheduler.Options{})
	s.granted = map[work.JobID]grant{}
	s.epoch++
	s.apply(w, scheduler.ContractChanged{Contract: scheduler.Contract{
		Teams:  map[string]scheduler.Team{"team": {Name: "team", Weight: 1, Limit: "limit"}},
		Queues: map[string]scheduler.Queue{"queue": {Name: "queue"}},
		Limits: map[string]scheduler.Limit{"limit": {Name: "limit", Units: 10000, UnitName: "slot", Unit: resource.Vector{MilliCPU: 1000, MemoryMiB: 4096}}},
	}})
	s.apply(w, scheduler.AllotmentsChanged{Units: map[string]int64{"limit": s.units}})
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		s.apply(w, scheduler.HostChanged{Host: scheduler.Host{ID: id, Zone: s.name, Rack: id, Capacity: hostSize, State: scheduler.HostReady}})
		var running []scheduler.RunningTask
		for a, r := range s.hosts[id] {
			running = append(running, scheduler.RunningTask{Attempt: a, Size: r.size})
		}
		slices.SortFunc(running, func(a, b scheduler.RunningTask) int {
			return cmp.Compare(fmt.Sprint(a.Attempt), fmt.Sprint(b.Attempt))
		})
		s.apply(w, scheduler.HostAdopted{Host: id, Running: running})
	}
	for _, g := range w.gangs {
		p, ok := g.parts[s.name]
		if !ok {
			continue
		}
		s.apply(w, scheduler.JobAdded{
			Job: g.job, First: p[0], Count: p[1], Ended: maps.Clone(g.outcomes), Intended: maps.Clone(g.intents),
			Attempts: (s.epoch - 1) * 100, NoUnadoptedAttempts: true, Spanning: true, Offset: g.offset,
		})
		if w.hasCoordinator(s, g) {
			w.startCoordinator(s, g)
		}
	}
	reports := slices.Collect(maps.Values(s.reports))
	slices.SortFunc(reports, func(a, b scheduler.TaskEnded) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, r := range reports {
		s.apply(w, r)
	}
	clear(s.reports)
}

// hasCoordinator reports whether the gang's coordinator runs in the shard, which is
// the shard of the gang's first part.
func (w *world) hasCoordinator(s *shard, g *gang) bool {
	return g.parts[s.name][0] == 0 && g.parts[s.name][1] > 0
}

func (w *world) startCoordinator(s *shard, g *gang) {
	g.coordinator = ganghold.New(ganghold.Config{
		Shards: slices.Collect(maps.Keys(g.parts)), Token: uint64(s.epoch), Idempotent: g.job.Idempotent, Seed: w.random.Uint64(),
	})
}

// crash ends the owner of a shard and the coordinators that run there. A new owner
// takes over after some time.
func (w *world) crash(s *shard) {
	s.owned = false
	for _, g := range w.gangs {
		if w.hasCoordinator(s, g) {
			g.coordinator = nil
		}
	}
	longest := 10 * time.Second
	if w.random.IntN(4) == 0 {
		// The log is unavailable, so that no process can take the shard over.
		longest = 90 * time.Second
	}
	w.after(time.Duration(w.random.Int64N(int64(longest))), func() { w.startOwner(s) })
}

// deliver passes an event to the coordinator of a gang and sends the resulting
// messages.
func (w *world) deliver(g *gang, e ganghold.Event) {
	c := g.coordinator
	if c == nil {
		return
	}
	for _, a := range c.Handle(w.now, e) {
		if _, ok := a.(ganghold.Confirm); ok && w.chance(15) {
			// The worst moment for a crash: some holds are confirmed and others are not.
			if g.coordinator != nil {
				w.crash(w.shards[0])
			}
			continue
		}
		w.message(func() {
			answer := w.handleCall(g, a)
			if answer == nil {
				return
			}
			w.message(func() {
				if g.coordinator == c {
					w.deliver(g, answer)
				}
			})
		})
	}
}

// handleCall carries out one call at the owner of a shard and returns the answer,
// or nil if none is expected.
func (w *world) handleCall(g *gang, a ganghold.Action) ganghold.Event {
	id := g.job.ID
	switch act := a.(type) {
	case ganghold.Hold:
		s := w.shard(act.Shard)
		if !s.owned {
			return ganghold.Failed{Call: act.Call}
		}
		until := s.clock(w) + act.Validity
		s.apply(w, scheduler.HoldRequested{Hold: act.HoldID, Job: id, Until: until})
		ok := s.sched.HoldGranted(id, act.HoldID)
		if ok {
			s.granted[id] = grant{act.HoldID, until}
		}
		return ganghold.Answered{Call: act.Call, OK: ok}
	case ganghold.Confirm:
		s := w.shard(act.Shard)
		if !s.owned {
			return ganghold.Failed{Call: act.Call}
		}
		s.apply(w, scheduler.HoldConfirmed{Hold: act.HoldID, Job: id})
		return ganghold.Answered{Call: act.Call, OK: s.sched.HoldStarted(id, act.HoldID)}
	case ganghold.Release:
		if s := w.shard(act.Shard); s.owned {
			s.apply(w, scheduler.HoldReleased{Hold: act.HoldID, Job: id})
		}
	case ganghold.Watch:
		s := w.shard(act.Shard)
		if !s.owned {
			return ganghold.Failed{Call: act.Call}
		}
		switch act.Mode {
		case ganghold.AllRunning:
			s.apply(w, scheduler.GangRunning{Job: id})
		case ganghold.Stop:
			s.apply(w, scheduler.GangStopped{Job: id})
		}
		return ganghold.Watched{Call: act.Call, State: w.partState(s, g)}
	}
	return nil
}

func (w *world) partState(s *shard, g *gang) ganghold.State {
	if st := s.sched.PartState(g.job.ID); st != scheduler.PartUnknown {
		return ganghold.State(st)
	}
	p := g.parts[s.name]
	for i := p[0]; i < p[0]+p[1]; i++ {
		if _, ok := g.outcomes[i]; !ok {
			return ganghold.Unknown
		}
	}
	return ganghold.Done
}

func (w *world) shard(name string) *shard {
	return w.shards[slices.IndexFunc(w.shards, func(s *shard) bool { return s.name == name })]
}

func (w *world) gang(id work.JobID) *gang {
	return w.gangs[slices.IndexFunc(w.gangs, func(g *gang) bool { return g.job.ID == id })]
}
