package schedule

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// livenessGrace is how long after the last fault submissions may wait, and maxIdle how
	// long each of them may have nothing running from then on, although a task's turn has
	// come and most of the room is free.
	livenessGrace = 14 * time.Second
	maxIdle       = 3 * time.Second
)

// livenessTest is a cluster whose hosts differ, with the times since which submissions
// have had nothing running.
type livenessTest struct {
	*cluster
	t         *rapid.T
	r         *rand.Rand
	idleSince map[string]time.Duration
	hostCount int
	jobCount  int
}

func (l *livenessTest) addHost() {
	spec := cell.Host{
		ID: fmt.Sprintf("h%03d", l.hostCount), Service: "s", Labels: []string{fmt.Sprintf("l%d", l.hostCount%2), fmt.Sprintf("r1-%d", l.hostCount%5)},
		Capacity: resource.Vector{MilliCPU: int64(6+2*l.r.IntN(6)) * 1000, MemoryMiB: 65536},
	}
	l.hostCount++
	l.hosts[spec.ID] = &fakeHost{id: spec.ID, spec: spec, startedMs: 1}
}

// relist passes the present hosts to the scheduler, as the host list shows them.
func (l *livenessTest) relist() {
	var list []cell.Host
	for _, id := range l.ids() {
		list = append(list, l.hosts[id].spec)
	}
	l.s.SetHosts(list)
	l.s.SetListedHosts(list)
}

// replaceHost replaces a host by one with another ID.
func (l *livenessTest) replaceHost(id string) {
	delete(l.hosts, id)
	l.addHost()
	l.s.MarkUnreachable(id)
	l.s.MarkAllRunsGone(id, l.now)
	l.relist()
	l.s.RemoveHost(id)
}

func (l *livenessTest) submitAny() {
	l.jobCount++
	var steps []cell.Step
	for n := range 1 + l.r.IntN(3) {
		s := cell.Step{
			Count: 1 + l.r.IntN(8), Size: resource.Vector{MilliCPU: int64(500 + l.r.IntN(6000)), MemoryMiB: int64(64 + l.r.IntN(8000))},
			Estimate: time.Duration(100+l.r.IntN(4000)) * time.Millisecond, Gang: l.r.IntN(2) == 0, RackLocal: l.r.IntN(3) == 0,
		}
		if l.r.IntN(4) == 0 {
			s.DataRack = fmt.Sprintf("r1-%d", l.r.IntN(6))
		}
		if l.r.IntN(3) == 0 {
			s.MaxPerHost = 1 + l.r.IntN(3)
		}
		if l.r.IntN(3) == 0 {
			s.Label = fmt.Sprintf("l%d", l.r.IntN(2))
		}
		if n > 0 && l.r.IntN(2) == 0 {
			s.After = []int{n - 1}
		}
		steps = append(steps, s)
	}
	l.submit(fmt.Sprintf("job%d", l.jobCount), []string{"advised", "plain"}[l.r.IntN(2)], []string{"a", "b"}[l.r.IntN(2)], steps...)
}

// fault causes one fault, or lets orders of the next decision get lost.
func (l *livenessTest) fault() (deliver func(Start) int) {
	ids := l.ids()
	id := ids[l.r.IntN(len(ids))]
	switch l.r.IntN(8) {
	case 0:
		l.hosts[id].unreachable = true
		l.s.MarkUnreachable(id)
	case 1:
		if h := l.hosts[id]; h.unreachable {
			h.runs = nil // all leases there have expired
			l.s.MarkAllRunsGone(id, l.now)
		}
	case 2:
		l.hosts[id].unreachable = false
	case 3:
		l.replaceHost(id)
	case 4:
		if l.r.IntN(4) == 0 {
			l.replaceOwner()
			if !l.anyUnreachable() {
				l.s.MarkReconciled(l.now)
			}
		}
	case 5:
		for _, call := range l.calls {
			l.s.AdviceFailed(call.request.Group, l.now)
		}
		l.calls = nil
	case 6:
		return func(Start) int { return l.r.IntN(4) }
	}
	return nil
}

// room returns the free room for the tasks of a group on the hosts that it may use, and
// the part of all capacity in use.
func (l *livenessTest) room(g *group) (tasks int, used float64) {
	var inUse, capacity int64
	for _, h := range l.hosts {
		free := h.spec.Capacity
		for _, r := range h.runs {
			free = free.Sub(l.jobs[r.task.Submission].Steps[r.task.Step].Reserved())
		}
		inUse, capacity = inUse+h.spec.Capacity.MilliCPU-free.MilliCPU, capacity+h.spec.Capacity.MilliCPU
		if (g.step.Label == "" || h.spec.HasLabel(g.step.Label)) && (g.policy() == nil || l.approves(g.id, h.id)) {
			tasks += g.membersIn(free)
		}
	}
	return tasks, float64(inUse) / float64(capacity)
}

// starved reports whether a submission has nothing running although the turn of a step
// has come, there is room for it twice over, and less than half of the capacity is in use.
func (l *livenessTest) starved(id string) bool {
	j := l.s.jobs[id]
	if j == nil || l.state[id].Final() || l.running(id) > 0 {
		return false
	}
	for _, g := range j.groups {
		need := 2
		if g.step.Gang {
			need = 2 * g.left
		}
		if tasks, used := l.room(g); g.ready && g.left > 0 && tasks >= need && used < 0.5 {
			return true
		}
	}
	return false
}

// check fails if a submission has been starved for too long.
func (l *livenessTest) check() {
	for _, id := range l.jobIDs() {
		if !l.starved(id) {
			delete(l.idleSince, id)
			continue
		}
		if _, ok := l.idleSince[id]; !ok {
			l.idleSince[id] = l.now
		}
		if l.now-l.idleSince[id] > maxIdle {
			l.t.Fatalf("LOST: %s could run and has not for %s: %v", id, l.now-l.idleSince[id], l.s.Explain(id))
		}
	}
}

// Guards against accepted work that stays behind for ever after faults, with most of the
// room free.
func TestWorkRunsOnceFaultsHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &livenessTest{cluster: newCluster(0, resource.Vector{}), t: t, r: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), idleSince: make(map[string]time.Duration)}
		l.adviceTakesTime = true
		for range 8 + l.r.IntN(20) {
			l.addHost()
		}
		denied := uint32(l.r.IntN(7))
		l.approves = func(g cell.GroupID, host string) bool {
			h := fnv.New32a()
			_, _ = fmt.Fprint(h, g, host)
			return h.Sum32()%10 >= denied
		}
		l.queue(cell.Queue{Name: "advised", Priority: 1, Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{
			Decision: time.Duration(10+l.r.IntN(600)) * time.Millisecond, PerHost: time.Duration(1+l.r.IntN(20)) * time.Millisecond, Validity: 2500 * time.Millisecond,
		}})
		l.queue(cell.Queue{Name: "plain", Priority: l.r.IntN(3), Stretch: 2, Latency: time.Second})
		l.relist()
		l.pollHosts()
		for range l.r.IntN(50) {
			for range l.r.IntN(3) {
				l.submitAny()
			}
			l.now += time.Duration(20+l.r.IntN(300)) * time.Millisecond
			deliver := l.fault()
			l.answerAdvice(func(call adviceCall) bool { return l.now >= call.due })
			l.endDueRuns()
			l.pollHosts()
			l.decide(deliver)
		}
		for _, id := range l.ids() {
			l.hosts[id].unreachable = false
		}
		l.pollHosts()
		l.s.MarkReconciled(l.now)
		for end := l.now + livenessGrace; l.now < end; {
			l.advance(100 * time.Millisecond)
		}
		for range 100 {
			if l.r.IntN(4) == 0 {
				l.submitAny()
			}
			l.advance(100 * time.Millisecond)
			l.check()
		}
		if len(l.violations) > 0 {
			t.Errorf("%d rule violations, the first: %s", len(l.violations), l.violations[0])
		}
	})
}
