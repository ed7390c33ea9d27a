package ganghold_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// maxPartialRun is the documented maximum time for which only some tasks of
	// an idempotent gang may run under one owner: 30 s without a report from the
	// coordinator, with 1 % of clock drift, the 4 s grace period of a stop, and
	// 1 s for the messages.
	maxPartialRun = 30*time.Second*101/100 + 4*time.Second + time.Second
	// faultPeriod is how long faults are injected. recoveryTimeout is the time
	// within which all gangs must end afterwards.
	faultPeriod     = 120 * time.Second
	recoveryTimeout = 480 * time.Second
)

// decide runs a scheduling pass of a shard and carries out the resulting actions.
func (w *world) decide(s *shard) {
	for _, a := range s.sched.Decide(s.clock(w)) {
		switch act := a.(type) {
		case scheduler.StartTask:
			w.startAttempt(s, act)
		case scheduler.StopTask:
			epoch := s.epoch
			w.after(10*time.Millisecond, func() {
				if _, ok := s.hosts[act.Host][act.Attempt]; ok && s.owned && epoch == s.epoch {
					w.endAttempt(s, act.Host, act.Attempt, work.Stopped)
				}
			})
		case scheduler.EndTask:
			w.gang(act.Task.Job).outcomes[act.Task.Index] = act.Outcome
		}
	}
}

// startAttempt starts an attempt on its host after a delay, unless the host refuses
// it, or the owner has crashed or been replaced by then.
func (w *world) startAttempt(s *shard, act scheduler.StartTask) {
	g, epoch := w.gang(act.Attempt.Task.Job), s.epoch
	if !act.Idempotent {
		g.intents[act.Attempt.Task.Index] = act.Attempt.Attempt
	}
	w.after(time.Duration(w.random.Int64N(int64(30*time.Millisecond))), func() {
		switch {
		case epoch != s.epoch || !s.owned:
		case w.chance(2):
			delete(g.intents, act.Attempt.Task.Index)
			s.apply(w, scheduler.TaskRefused{Attempt: act.Attempt, Host: act.Host})
		default:
			s.hosts[act.Host][act.Attempt] = run{act.Size, w.now + w.taskDuration}
			g.started[act.Attempt.Task.Index]++
			s.apply(w, scheduler.TaskStarted{Attempt: act.Attempt, Host: act.Host})
		}
	})
}

// endAttempt ends an execution and reports it to the owner of the shard, or to the
// next owner if there is none now.
func (w *world) endAttempt(s *shard, host string, id work.AttemptID, o work.Outcome) {
	delete(s.hosts[host], id)
	if o == work.Succeeded {
		w.gang(id.Task.Job).succeeded[id.Task.Index] = true
	}
	report := scheduler.TaskEnded{Attempt: id, Host: host, Outcome: o, Ran: w.taskDuration}
	if s.owned {
		s.apply(w, report)
	} else {
		s.reports[id] = report
	}
}

// advance advances the simulated time by one step.
func (w *world) advance() {
	w.now += step
	var due []scheduledCall
	w.scheduled = slices.DeleteFunc(w.scheduled, func(d scheduledCall) bool {
		if d.at <= w.now {
			due = append(due, d)
		}
		return d.at <= w.now
	})
	slices.SortFunc(due, func(a, b scheduledCall) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	for _, d := range due {
		d.do()
	}
	for _, s := range w.shards {
		w.endDueRuns(s)
		if s.owned && w.faults && w.random.IntN(w.meanStepsBetweenCrashes) == 0 {
			w.crash(s)
		}
		if s.owned {
			w.decide(s)
		}
	}
	for _, g := range w.gangs {
		w.deliver(g, ganghold.Tick{})
	}
}

// endDueRuns ends the executions that have reached their end time.
func (w *world) endDueRuns(s *shard) {
	for _, host := range slices.Sorted(maps.Keys(s.hosts)) {
		var over []work.AttemptID
		for a, r := range s.hosts[host] {
			if r.ends <= w.now {
				over = append(over, a)
			}
		}
		slices.SortFunc(over, func(a, b work.AttemptID) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, a := range over {
			w.endAttempt(s, host, a, work.Succeeded)
		}
	}
}

// checkInvariants checks that no task runs twice, that no host or limit is
// exceeded, that no hold outlives its validity, and how long gangs run partially.
func (w *world) checkInvariants(t *rapid.T) {
	running := map[work.TaskID]bool{}
	for _, s := range w.shards {
		units := int64(0)
		for host, runs := range s.hosts {
			used := resource.Vector{}
			for a, r := range runs {
				used = used.Add(r.size)
				units += r.size.MilliCPU / 1000
				if running[a.Task] {
					t.Fatalf("%s: %v runs twice", w.now, a.Task)
				}
				running[a.Task] = true
			}
			if !used.Fits(hostSize) {
				t.Fatalf("%s: %s runs %s", w.now, host, used)
			}
		}
		if units > s.units {
			t.Fatalf("%s: shard %s runs %d units of %d", w.now, s.name, units, s.units)
		}
		w.checkHolds(t, s)
	}
	for _, g := range w.gangs {
		w.checkPartialRun(t, g, running)
	}
}

// checkHolds checks that no hold remains granted after it has expired.
func (w *world) checkHolds(t *rapid.T, s *shard) {
	for id, h := range s.granted {
		if s.owned && h.until <= s.clock(w) && s.sched.HoldGranted(id, h.id) {
			t.Fatalf("%s: hold %s of %s in %s outlives %s", w.now, h.id, id, s.name, h.until)
		}
	}
}

// checkPartialRun checks for how long only some tasks of a gang run, and that no
// non-idempotent task starts twice. Time during which a running part has no owner
// does not count, because a new owner first has to take the shard over.
func (w *world) checkPartialRun(t *rapid.T, g *gang, running map[work.TaskID]bool) {
	runs, waits := false, false
	for i := range g.job.Tasks {
		if running[work.TaskID{Job: g.job.ID, Index: i}] {
			runs = true
		} else if _, ended := g.outcomes[i]; !ended && !g.succeeded[i] {
			waits = true
		}
		if !g.job.Idempotent && g.started[i] > 1 {
			t.Fatalf("%s: non-idempotent task %d of %s started %d times", w.now, i, g.job.ID, g.started[i])
		}
	}
	if !runs || !waits || !g.job.Idempotent || w.runsWithoutOwner(g) {
		g.partialSince = w.now
	}
	if w.now-g.partialSince > maxPartialRun {
		t.Fatalf("%s: only some tasks of %s have run since %s", w.now, g.job.ID, g.partialSince)
	}
}

// runsWithoutOwner reports whether a part of g runs in a shard without an owner.
func (w *world) runsWithoutOwner(g *gang) bool {
	for _, s := range w.shards {
		for _, runs := range s.hosts {
			for a := range runs {
				if a.Task.Job == g.job.ID && !s.owned {
					return true
				}
			}
		}
	}
	return false
}

// done reports whether every task of every gang has its outcome.
func (w *world) done() bool {
	for _, g := range w.gangs {
		if len(g.outcomes) < int(g.job.Tasks) {
			return false
		}
	}
	return true
}

func drawWorld(t *rapid.T) *world {
	w := &world{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), faults: rapid.Bool().Draw(t, "faults"),
		taskDuration:            time.Duration(rapid.SampledFrom([]int{5, 60}).Draw(t, "task seconds")) * time.Second,
		meanStepsBetweenCrashes: rapid.SampledFrom([]int{200, 1000, 4000}).Draw(t, "steps between crashes")}
	shards := rapid.IntRange(2, 4).Draw(t, "shards")
	for i := range shards {
		s := &shard{name: fmt.Sprintf("zone-%d/0", i), clockRate: 1 + float64(i%3-1)/200, hosts: map[string]map[work.AttemptID]run{},
			reports: map[work.AttemptID]scheduler.TaskEnded{}, units: 32}
		// With three hosts the limit allows less than the hosts can hold.
		for k := range rapid.IntRange(2, 3).Draw(t, "hosts") {
			s.hosts[fmt.Sprintf("host-%d-%d", i, k)] = map[work.AttemptID]run{}
		}
		w.shards = append(w.shards, s)
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "gangs") {
		w.gangs = append(w.gangs, drawGang(t, i, shards))
	}
	for _, s := range w.shards {
		w.startOwner(s)
	}
	return w
}

// drawGang draws a gang with parts in two or more shards. A part has at most 8
// tasks of 4 cores, which is as many as the smallest shard can hold.
func drawGang(t *rapid.T, i, shards int) *gang {
	g := &gang{
		job: work.Job{ID: work.JobID(fmt.Sprintf("gang-%d", i)), Team: "team", Queue: "queue", Kind: work.Gang,
			Size:       resource.Vector{MilliCPU: 4000, MemoryMiB: 4096},
			Idempotent: rapid.IntRange(0, 3).Draw(t, "idempotent") > 0, Lease: time.Minute},
		parts: map[string][2]int32{}, offset: uint64(i + 1), outcomes: map[int32]work.Outcome{}, intents: map[int32]int32{},
		succeeded: map[int32]bool{}, started: map[int32]int{},
	}
	for k := range shards {
		n := rapid.Int32Range(0, 8).Draw(t, "part")
		if k < 2 {
			n = max(n, 1)
		}
		if n > 0 {
			g.parts[fmt.Sprintf("zone-%d/0", k)] = [2]int32{g.job.Tasks, n}
			g.job.Tasks += n
		}
	}
	return g
}

// Guards against gangs of which only some tasks run for longer than maxPartialRun,
// holds that outlive their validity, hosts and limits that are exceeded, and
// competing gangs that keep one another from starting. Messages are lost or
// delayed and owners crash.
func TestGangsStartTogetherAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for w.now < faultPeriod+recoveryTimeout && !w.done() {
			w.faults = w.faults && w.now < faultPeriod
			w.advance()
			w.checkInvariants(t)
		}
		if !w.done() {
			for _, g := range w.gangs {
				t.Logf("%s: %d of %d tasks ended", g.job.ID, len(g.outcomes), g.job.Tasks)
			}
			t.Fatalf("gangs have not ended %s after the last fault", recoveryTimeout)
		}
	})
}
