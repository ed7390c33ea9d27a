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

// run is one execution on a host.
type run struct {
	size resource.Vector
	ends time.Duration
}

// shard is a shard with its real scheduler and its hosts. The hosts outlive the owner.
type shard struct {
	name    string
	rate    float64
	up      bool
	epoch   int32
	sched   *scheduler.Scheduler
	hosts   map[string]map[work.AttemptID]run
	reports map[work.AttemptID]scheduler.TaskEnded
	// granted maps the hold of each gang to its end on the owner's clock.
	granted map[work.JobID]grant
	units   int64
}

type grant struct {
	id    string
	until time.Duration
}

// gang is a gang and the truth about its tasks.
type gang struct {
	job         work.Job
	parts       map[string][2]int32
	offset      uint64
	coordinator *ganghold.Coordinator
	outcomes    map[int32]work.Outcome
	intents     map[int32]int32
	succeeded   map[int32]bool
	started     map[int32]int
	partlySince time.Duration
}

// world is a simulation of shards, gangs and the network between them.
type world struct {
	now    time.Duration
	random *rand.Rand
	shards []*shard
	gangs  []*gang
	later  []delayed
	faults bool
	// taskTime is above and below the bound for gangs that run partly.
	taskTime time.Duration
	// crashIn is the mean number of steps between two crashes of an owner.
	crashIn int
	seq     int
}

type delayed struct {
	at  time.Duration
	seq int
	do  func()
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.later = append(w.later, delayed{w.now + d, w.seq, do})
}

func (w *world) chance(percent int) bool { return w.faults && w.random.IntN(100) < percent }

// message delivers over a network that loses and delays.
func (w *world) message(do func()) {
	switch {
	case w.chance(5):
	case w.chance(3):
		w.after(time.Duration(w.random.Int64N(int64(8*time.Second))), do)
	default:
		w.after(time.Duration(w.random.Int64N(int64(20*time.Millisecond))), do)
	}
}

func (s *shard) clock(w *world) time.Duration { return time.Duration(float64(w.now) * s.rate) }

func (s *shard) apply(w *world, e scheduler.Event) { s.sched.Apply(s.clock(w), e) }

// own starts an owner of the shard: it adopts the hosts and learns the jobs.
func (w *world) own(s *shard) {
	s.up, s.sched = true, scheduler.New(scheduler.Options{})
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
			Attempts: (s.epoch - 1) * 100, Settled: true, Spanning: true, Offset: g.offset,
		})
		if w.coordinates(s, g) {
			w.coordinate(s, g)
		}
	}
	reports := slices.Collect(maps.Values(s.reports))
	slices.SortFunc(reports, func(a, b scheduler.TaskEnded) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for _, r := range reports {
		s.apply(w, r)
	}
	clear(s.reports)
}

// coordinates reports whether the gang's first part is in the shard.
func (w *world) coordinates(s *shard, g *gang) bool {
	return g.parts[s.name][0] == 0 && g.parts[s.name][1] > 0
}

func (w *world) coordinate(s *shard, g *gang) {
	g.coordinator = ganghold.New(ganghold.Config{
		Shards: slices.Collect(maps.Keys(g.parts)), Token: uint64(s.epoch), Idempotent: g.job.Idempotent, Seed: w.random.Uint64(),
	})
}

// crash ends the owner of a shard, and the coordinators in it; another one
// takes over after some time.
func (w *world) crash(s *shard) {
	s.up = false
	for _, g := range w.gangs {
		if w.coordinates(s, g) {
			g.coordinator = nil
		}
	}
	longest := 10 * time.Second
	if w.random.IntN(4) == 0 {
		// The log is away, so that nobody can take the shard over.
		longest = 90 * time.Second
	}
	w.after(time.Duration(w.random.Int64N(int64(longest))), func() { w.own(s) })
}

// tell feeds a coordinator and sends what it wants.
func (w *world) tell(g *gang, e ganghold.Event) {
	c := g.coordinator
	if c == nil {
		return
	}
	for _, a := range c.Handle(w.now, e) {
		if _, ok := a.(ganghold.Confirm); ok && w.chance(15) {
			// The worst moment: some parts get the go and others do not.
			if g.coordinator != nil {
				w.crash(w.shards[0])
			}
			continue
		}
		w.message(func() {
			answer := w.serve(g, a)
			if answer == nil {
				return
			}
			w.message(func() {
				if g.coordinator == c {
					w.tell(g, answer)
				}
			})
		})
	}
}

// serve carries out one call at the owner of a shard.
func (w *world) serve(g *gang, a ganghold.Action) ganghold.Event {
	id := g.job.ID
	switch act := a.(type) {
	case ganghold.Hold:
		s := w.shard(act.Shard)
		if !s.up {
			return ganghold.Failed{Call: act.Call}
		}
		until := s.clock(w) + act.For
		s.apply(w, scheduler.HoldRequested{Hold: act.Hold, Job: id, Until: until})
		ok := s.sched.HoldGranted(id, act.Hold)
		if ok {
			s.granted[id] = grant{act.Hold, until}
		}
		return ganghold.Answered{Call: act.Call, OK: ok}
	case ganghold.Confirm:
		s := w.shard(act.Shard)
		if !s.up {
			return ganghold.Failed{Call: act.Call}
		}
		s.apply(w, scheduler.HoldConfirmed{Hold: act.Hold, Job: id})
		return ganghold.Answered{Call: act.Call, OK: s.sched.HoldStarted(id, act.Hold)}
	case ganghold.Release:
		if s := w.shard(act.Shard); s.up {
			s.apply(w, scheduler.HoldReleased{Hold: act.Hold, Job: id})
		}
	case ganghold.Watch:
		s := w.shard(act.Shard)
		if !s.up {
			return ganghold.Failed{Call: act.Call}
		}
		switch act.Mode {
		case ganghold.Keep:
			s.apply(w, scheduler.GangKept{Job: id})
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
