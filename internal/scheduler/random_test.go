package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// scenario holds the parameters of a random fleet, contract and sequence of
// events.
type scenario struct {
	seed         uint64
	hosts        int
	jobs         int
	faultPercent int
	faultEvents  int
	policy       Policy
	// manySizes draws each task size from the whole range that fits a host.
	manySizes bool
}

func drawScenario(t *rapid.T) scenario {
	return scenario{
		seed:         rapid.Uint64().Draw(t, "seed"),
		hosts:        rapid.IntRange(2, 14).Draw(t, "hosts"),
		jobs:         rapid.IntRange(1, 40).Draw(t, "jobs"),
		faultPercent: rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "chaos"),
		faultEvents:  rapid.IntRange(0, 30).Draw(t, "faults"),
		policy: Policy{
			ShareWeight:        rapid.IntRange(0, 100).Draw(t, "shareWeight"),
			PackingWeight:      rapid.IntRange(0, 100).Draw(t, "packingWeight"),
			RetryBudgetPercent: 50, MaxAttempts: 4, MaxWait: 5 * time.Second, ProbationAfter: 2 * time.Second,
		},
	}
}

// newRandom returns a deterministic source of numbers below n.
func newRandom(seed uint64) func(int) int {
	return func(n int) int {
		seed += 0x9e3779b97f4a7c15
		z := (seed ^ seed>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		return int(((z ^ z>>31) >> 1) % uint64(n))
	}
}

func hostSpec(i int) Host {
	c := resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}
	if i%4 == 3 {
		c.Accelerators = 4
	}
	return Host{
		ID: fmt.Sprintf("h%d", i), Region: "r", Zone: fmt.Sprintf("z%d", i%2),
		Rack: fmt.Sprintf("k%d", i%5), Capacity: c, State: HostReady,
	}
}

func (sc scenario) build() *model {
	m := newModel(Options{}, newRandom(sc.seed))
	m.faultPercent, m.manySizes = sc.faultPercent, sc.manySizes
	c := Contract{Teams: map[string]Team{}, Limits: map[string]Limit{}, Policy: sc.policy,
		Queues: map[string]Queue{"low": {Name: "low"}, "high": {Name: "high", Priority: 1}}}
	unit := resource.Vector{MilliCPU: 1000, MemoryMiB: 4096, Accelerators: 1}
	for i := range 3 {
		team, lim := fmt.Sprintf("t%d", i), fmt.Sprintf("l%d", i%2)
		c.Teams[team] = Team{Name: team, Weight: int64(i + 1), Limit: lim}
		c.Limits[lim] = Limit{Name: lim, Units: 400, UnitName: "slot", Unit: unit}
		m.limitOfTeam[team], m.allotments[lim] = lim, int64(40+m.rnd(200))
	}
	m.limits, m.contract = c.Limits, c
	m.s.Apply(0, ContractChanged{Contract: c})
	m.sendAllotments()
	for i := range sc.hosts {
		m.addHost(hostSpec(i)).failing = m.rnd(10) == 0
	}
	for i := range sc.jobs {
		j := m.randomJob(i)
		m.schedule(time.Duration(m.rnd(20000))*time.Millisecond, func() { m.addJob(j) })
	}
	for range sc.faultEvents {
		m.schedule(time.Duration(m.rnd(30000))*time.Millisecond, m.randomFault)
	}
	return m
}

func (m *model) sendAllotments() {
	units := map[string]int64{}
	for k, v := range m.allotments {
		units[k] = v
	}
	m.s.Apply(m.now, AllotmentsChanged{Units: units})
}

func (m *model) randomJob(i int) work.Job {
	j := work.Job{
		ID: work.JobID(fmt.Sprintf("j%d", i)), Team: fmt.Sprintf("t%d", m.rnd(3)),
		Queue: []string{"low", "high"}[m.rnd(2)], Kind: work.Kind(m.rnd(3)), Class: work.Class(m.rnd(3)),
		Tasks: int32(1 + m.rnd(6)), Idempotent: m.rnd(4) > 0, Lease: 10 * time.Second,
		Size:    resource.Vector{MilliCPU: int64(500 * (1 + m.rnd(16))), MemoryMiB: int64(512 * (1 + m.rnd(32)))},
		Runtime: time.Duration(100+m.rnd(8000)) * time.Millisecond, Template: fmt.Sprintf("p%d", m.rnd(4)),
	}
	if m.manySizes {
		j.Size = resource.Vector{MilliCPU: int64(1 + m.rnd(15999)), MemoryMiB: int64(1 + m.rnd(50000))}
	}
	if m.rnd(6) == 0 {
		j.Size.Accelerators = int64(1 + m.rnd(4))
	}
	return j
}

func (m *model) randomFault() {
	if len(m.hosts) == 0 {
		return
	}
	h := m.hosts[m.rnd(len(m.hosts))]
	switch m.rnd(8) {
	case 0:
		m.removeHost(h)
		spec := h.spec
		spec.State = HostReady
		m.schedule(2*time.Second, func() { m.addHost(spec) })
	case 1, 2:
		m.setState(h, []HostState{HostUnknown, HostUnreachable}[m.rnd(2)])
		m.schedule(3*time.Second, func() { m.makeReady(h) })
	case 3:
		m.setState(h, HostLeaving)
		m.schedule(5*time.Second, func() { m.makeReady(h) })
	case 4:
		m.cancel(work.JobID(fmt.Sprintf("j%d", m.rnd(len(m.jobs)+1))))
	case 5:
		lim := fmt.Sprintf("l%d", m.rnd(2))
		m.allotments[lim] = int64(m.rnd(200))
		m.sendAllotments()
	case 7:
		m.takeOver()
	case 6:
		m.s.Apply(m.now, StartsPaused{All: m.rnd(2) == 0, NonIdempotent: m.rnd(2) == 0})
		m.schedule(time.Second, func() { m.s.Apply(m.now, StartsPaused{}) })
	}
}

// takeOver replaces the scheduler by a new one that knows only what the log
// holds and learns the rest by adopting the hosts one after the other.
func (m *model) takeOver() {
	m.s = New(Options{})
	m.s.Apply(m.now, ContractChanged{Contract: m.contract})
	m.sendAllotments()
	for i, h := range m.hosts {
		h.spec.State = HostUnknown
		m.s.Apply(m.now, HostChanged{Host: h.spec})
		m.schedule(time.Duration(i*100)*time.Millisecond, func() { m.makeReady(h) })
	}
	// Job numbers have gaps; 200 more than the number of jobs is above the
	// highest.
	for n := range len(m.jobs) + 200 {
		j, ok := m.jobs[work.JobID(fmt.Sprintf("j%d", n))]
		if !ok {
			continue
		}
		ev := JobAdded{Job: j, Count: j.Tasks, Ended: map[int32]work.Outcome{}, Intended: map[int32]int32{}, Attempts: m.attempts[j.ID]}
		for i := range j.Tasks {
			task := work.TaskID{Job: j.ID, Index: i}
			if o, ended := m.outcomes[task]; ended {
				ev.Ended[i] = o
			}
			if k, sent := m.intents[task]; sent {
				ev.Intended[i] = k
			}
		}
		m.s.Apply(m.now, ev)
		if m.cancelled[j.ID] {
			m.s.Apply(m.now, JobCancelled{Job: j.ID})
		}
	}
}

func (m *model) cancel(id work.JobID) {
	_, known := m.jobs[id]
	m.cancelled[id] = known
	m.s.Apply(m.now, JobCancelled{Job: id})
}

// makeReady reports the tasks of a host and makes it ready, if it still exists.
func (m *model) makeReady(h *modelHost) {
	if m.host(h.spec.ID) == h {
		m.adopt(h)
		m.setState(h, HostReady)
	}
}

// endFaults stops the faults, adopts every host, cancels the services and
// raises every limit, so that every task that can end does.
func (m *model) endFaults() {
	m.faultPercent = 0
	for _, h := range m.hosts {
		h.failing = false
		m.makeReady(h)
	}
	for k := range m.allotments {
		m.allotments[k] = 400
	}
	m.sendAllotments()
	for id, j := range m.jobs {
		if j.Kind == work.Service {
			m.cancel(id)
		}
	}
	m.scheduleReports(8)
}

// scheduleReports schedules n reports of all hosts, 8 s apart. Only such a
// report resolves a start request without an answer.
func (m *model) scheduleReports(n int) {
	for k := range n {
		m.schedule(time.Duration(k)*8*time.Second, func() {
			for _, h := range m.hosts {
				m.makeReady(h)
			}
		})
	}
}

// TestRandomFleets guards, for any order of events inside a shard, invariants
// I1, I2, I4 and I7, that gangs start all tasks together, and that each task
// has one outcome.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runFleet(t, drawScenario(t).build())
	})
}

func runFleet(t *rapid.T, m *model) {
	m.run(40*time.Second, 50*time.Millisecond)
	m.endFaults()
	m.run(400*time.Second, 200*time.Millisecond)
	for id, j := range m.jobs {
		for i := range j.Tasks {
			task := work.TaskID{Job: id, Index: i}
			if _, ok := m.outcomes[task]; !ok && m.feasible(j) {
				st, _ := m.s.Task(task)
				m.violation("task %s %+v has no outcome: %s", task, st, strings.Join(m.s.Explain(id, m.now), " "))
			}
		}
	}
	if len(m.violations) > 0 {
		t.Fatalf("%d violations, first: %s", len(m.violations), strings.Join(m.violations[:min(5, len(m.violations))], "\n"))
	}
}

// feasible reports whether the empty fleet can hold the job.
func (m *model) feasible(j work.Job) bool {
	n, room := int64(1), int64(0)
	if j.Kind == work.Gang {
		n = int64(j.Tasks)
	}
	for _, h := range m.hosts {
		room += h.spec.Capacity.UnitsIn(j.Size)
	}
	return room >= n
}

// TestDeterminism guards against decisions that depend on the iteration order
// of a map.
func TestDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := drawScenario(t)
		a, b := sc.build(), sc.build()
		a.run(40*time.Second, 50*time.Millisecond)
		b.run(40*time.Second, 50*time.Millisecond)
		if d := cmp.Diff(a.actions, b.actions); d != "" {
			t.Fatalf("same events, different actions: %s", d)
		}
	})
}
