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
	// faults is set until the last fault; deadly tasks crash their hosts until then.
	// One submission in deadlyShare is deadly, none if it is zero.
	faults      bool
	deadlyShare int
	// quiet is set if no work arrives after the faults. While it does, gangs may reserve
	// the room of others for longer, which shows in small cells and beside long tasks.
	quiet bool
}

func (l *livenessTest) addHost() {
	spec := cell.Host{
		ID: fmt.Sprintf("h%03d", l.hostCount), Service: "s", Zone: l.anyZone(), Labels: []string{fmt.Sprintf("l%d", l.hostCount%2), fmt.Sprintf("r1-%d", l.hostCount%5)},
		Capacity: l.anyCapacity(),
	}
	l.hostCount++
	l.hosts[spec.ID] = &fakeHost{id: spec.ID, spec: spec, startedMs: 1}
}

func (l *livenessTest) anyZone() string { return fmt.Sprintf("z%d", l.r.IntN(zoneCount)) }

func (l *livenessTest) anyCapacity() resource.Vector {
	return resource.Vector{MilliCPU: int64(6+2*l.r.IntN(6)) * 1000, MemoryMiB: 65536}
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
		if l.quiet && l.r.IntN(8) == 0 {
			s.Estimate *= 5
		}
		if s.LongRunning = l.r.IntN(20) == 0; s.LongRunning {
			s.Count = min(s.Count, 3)
		}
		if n > 0 && l.r.IntN(2) == 0 {
			s.After = []int{n - 1}
		}
		steps = append(steps, s)
	}
	kind := "job"
	if l.deadlyShare > 0 && l.r.IntN(l.deadlyShare) == 0 {
		kind = "deadly"
	}
	l.submit(fmt.Sprintf("%s%d", kind, l.jobCount), []string{"advised", "plain"}[l.r.IntN(2)], []string{"a", "b"}[l.r.IntN(2)], steps...)
}

// room returns the free room for the tasks of a group on the hosts that it may use, and
// the part of the capacity in use. Evacuated zones have none.
func (l *livenessTest) room(g *group) (tasks int, used float64) {
	var inUse, capacity int64
	for _, h := range l.hosts {
		if l.evacuated.Has(h.spec.Zone) {
			continue
		}
		free := h.spec.Capacity
		for _, r := range h.runs {
			free = free.Sub(l.jobs[r.task.Submission].Steps[r.task.Step].Reserved())
		}
		inUse, capacity = inUse+h.spec.Capacity.MilliCPU-free.MilliCPU, capacity+h.spec.Capacity.MilliCPU
		if (g.step.Label == "" || h.spec.HasLabel(g.step.Label)) && (g.policy() == nil || l.approves(g.id, h.id)) {
			tasks += l.tasksThatFit(g, h, free)
		}
	}
	return tasks, float64(inUse) / float64(capacity)
}

// tasksThatFit returns how many more tasks of a group fit into the free room of a host.
func (l *livenessTest) tasksThatFit(g *group, h *fakeHost, free resource.Vector) int {
	n := tasksIn(g.size, free)
	if g.step.MaxPerHost == 0 {
		return n
	}
	there := 0
	for _, r := range h.runs {
		if r.task.Group() == g.id {
			there++
		}
	}
	return max(min(n, g.step.MaxPerHost-there), 0)
}

// starved reports whether a submission has nothing running, or a long-running task does
// not run whose submission is not under trial, although the turn of a step has come, there is room for it twice over, its
// team uses less than half of its limit, and less than half of the capacity is in use.
func (l *livenessTest) starved(id string) bool {
	j := l.s.jobs[id]
	if j == nil || l.state[id].Final() || !l.belowHalfOfLimit(j) {
		return false
	}
	idle, underTrial := l.running(id) == 0, l.s.underTrial(j)
	for _, g := range j.groups {
		need := 2
		if g.step.Gang {
			need = 2 * g.left
		}
		if !g.ready || g.waiting == 0 || !idle && (underTrial || !g.step.LongRunning) {
			continue
		}
		if tasks, used := l.room(g); tasks >= need && (used < 0.5 || g.step.LongRunning) {
			return true
		}
	}
	return false
}

// belowHalfOfLimit reports whether the team of a job uses less than half of its limit.
func (l *livenessTest) belowHalfOfLimit(j *job) bool {
	limit := l.teams[j.sub.Team].Limit.MilliCPU
	return limit == 0 || j.team.used.MilliCPU < limit/2
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

// Guards against accepted work that stays behind for ever after faults, crashes of hosts
// and takeovers included, with most of the room free.
func TestWorkRunsOnceFaultsHaveEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &livenessTest{cluster: newCluster(0, resource.Vector{}), t: t, r: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream"))), idleSince: make(map[string]time.Duration)}
		l.adviceTakesTime = true
		l.takes = func(t cell.TaskID, estimate time.Duration) time.Duration {
			if l.jobs[t.Submission].Steps[t.Step].LongRunning {
				return time.Hour
			}
			return estimate
		}
		if l.r.IntN(2) == 0 {
			l.teams["b"] = cell.Team{Name: "b", Weight: 100, Limit: resource.Vector{MilliCPU: int64(105+l.r.IntN(60)) * 1000}}
		}
		for range 2 + l.r.IntN(26) {
			l.addHost()
		}
		l.quiet = len(l.hosts) < 8 || l.r.IntN(2) == 0
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
		l.deadlyShare = []int{0, 2, 4, 12}[l.r.IntN(4)]
		l.causeFaults(l.r.IntN(50))
		l.endFaults()
		for end := l.now + livenessGrace; l.now < end; {
			l.advance(100 * time.Millisecond)
		}
		for range 100 {
			if !l.quiet && l.r.IntN(4) == 0 {
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
