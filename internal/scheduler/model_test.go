package scheduler

import (
	"fmt"
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// model is a simulated fleet of workers. It carries out actions with delays,
// lost messages, failures and start requests without an answer, keeps its own
// record of what runs, and collects violations of the rules of the scheduler.
type model struct {
	s        *Scheduler
	rnd      func(n int) int
	now      time.Duration
	hosts    []*modelHost
	queue    []modelEvent
	seq      int
	jobs     map[work.JobID]work.Job
	outcomes map[work.TaskID]work.Outcome
	runs     map[work.TaskID]int
	started  map[work.AttemptID]bool
	// attempts and intents are what the log would hold for the scheduler that
	// takes over.
	attempts map[work.JobID]int32
	intents  map[work.TaskID]int32
	// cancelled is set for jobs that a caller cancelled.
	cancelled  map[work.JobID]bool
	actions    []string
	violations []string
	contract   Contract
	// faultPercent is the percentage at which each step of an attempt goes
	// wrong: a start is refused or lost, an answer or a stop request is lost,
	// or the attempt fails.
	faultPercent int
	manySizes    bool
	// beforeDecide runs ahead of each Decide.
	beforeDecide func()
	allotments   map[string]int64
	limits       map[string]Limit
	limitOfTeam  map[string]string
	// maxUse is, for each limit, the larger of its use and its allotment after
	// the last step.
	maxUse map[string]int64
	// firstStart is when a task of each job was first started.
	firstStart map[work.JobID]time.Duration
	runtime    func(j work.Job) time.Duration
}

type modelHost struct {
	spec    Host
	failing bool
	running map[work.AttemptID]modelRun
}

type modelRun struct {
	size  resource.Vector
	since time.Duration
}

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

func newModel(o Options, rnd func(int) int) *model {
	return &model{
		s: New(o), rnd: rnd, jobs: map[work.JobID]work.Job{}, outcomes: map[work.TaskID]work.Outcome{},
		runs: map[work.TaskID]int{}, started: map[work.AttemptID]bool{},
		attempts: map[work.JobID]int32{}, intents: map[work.TaskID]int32{},
		cancelled: map[work.JobID]bool{}, allotments: map[string]int64{},
		limits: map[string]Limit{}, limitOfTeam: map[string]string{}, maxUse: map[string]int64{}, firstStart: map[work.JobID]time.Duration{},
		runtime: func(j work.Job) time.Duration { return j.Runtime },
	}
}

func (m *model) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf("%s: ", m.now)+fmt.Sprintf(format, args...))
}

func (m *model) schedule(d time.Duration, do func()) {
	m.seq++
	m.queue = append(m.queue, modelEvent{at: m.now + d, seq: m.seq, do: do})
	for i := len(m.queue) - 1; i > 0; {
		p := (i - 1) / 2
		if !m.less(i, p) {
			break
		}
		m.queue[i], m.queue[p] = m.queue[p], m.queue[i]
		i = p
	}
}

func (m *model) less(a, b int) bool {
	return m.queue[a].at < m.queue[b].at || (m.queue[a].at == m.queue[b].at && m.queue[a].seq < m.queue[b].seq)
}

func (m *model) pop() modelEvent {
	e, last := m.queue[0], len(m.queue)-1
	m.queue[0] = m.queue[last]
	m.queue = m.queue[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c+1 < last && m.less(c+1, c) {
			c++
		}
		if c >= last || !m.less(c, i) {
			return e
		}
		m.queue[i], m.queue[c] = m.queue[c], m.queue[i]
		i = c
	}
}

// run calls Decide at every step until the clock reaches end.
func (m *model) run(end, step time.Duration) {
	for m.now < end {
		m.now += step
		for len(m.queue) > 0 && m.queue[0].at <= m.now {
			m.pop().do()
		}
		m.decide()
	}
}

func (m *model) decide() {
	if m.beforeDecide != nil {
		m.beforeDecide()
	}
	acts := m.s.Decide(m.now)
	gangs := map[work.JobID]int{}
	for _, a := range acts {
		switch a := a.(type) {
		case StartTask:
			if m.jobs[a.Attempt.Task.Job].Kind == work.Gang {
				gangs[a.Attempt.Task.Job]++
			}
			m.start(a)
		case StopTask:
			m.stop(a)
		case EndTask:
			if _, twice := m.outcomes[a.Task]; twice {
				m.violation("task %s ended twice", a.Task)
			}
			m.outcomes[a.Task] = a.Outcome
		}
		m.actions = append(m.actions, fmt.Sprintf("%s %T %v", m.now, a, a))
	}
	m.checkGangs(gangs)
	m.checkLimits()
}

// checkGangs requires that the start of a gang includes all of its tasks
// without an outcome.
func (m *model) checkGangs(starts map[work.JobID]int) {
	for id, n := range starts {
		open := 0
		for i := range m.jobs[id].Tasks {
			if _, ended := m.outcomes[work.TaskID{Job: id, Index: i}]; !ended {
				open++
			}
		}
		if n != open {
			m.violation("gang %s started %d of %d tasks", id, n, open)
		}
	}
}

func (m *model) host(id string) *modelHost {
	for _, h := range m.hosts {
		if h.spec.ID == id {
			return h
		}
	}
	return nil
}

// start records the attempt at once, and reports it after a delay.
func (m *model) start(a StartTask) {
	h := m.host(a.Host)
	j := m.jobs[a.Attempt.Task.Job]
	switch {
	case h == nil || h.spec.State != HostReady:
		m.violation("start on host %s that is not ready", a.Host)
		return
	case m.started[a.Attempt]:
		m.violation("attempt %s started twice", a.Attempt)
	}
	m.attempts[j.ID] = max(m.attempts[j.ID], a.Attempt.Attempt)
	if !j.Idempotent {
		m.intents[a.Attempt.Task] = a.Attempt.Attempt
	}
	for _, o := range m.hosts {
		for id := range o.running {
			if id.Task == a.Attempt.Task {
				m.violation("task %s runs on %s and starts on %s", id.Task, o.spec.ID, a.Host)
			}
		}
	}
	if _, ended := m.outcomes[a.Attempt.Task]; ended {
		m.violation("task %s starts after its end", a.Attempt.Task)
	}
	m.started[a.Attempt] = true
	h.running[a.Attempt] = modelRun{size: a.Size, since: m.now}
	var used resource.Vector
	for _, r := range h.running {
		used = used.Add(r.size)
	}
	if !used.Fits(h.spec.Capacity) {
		m.violation("host %s holds %s of %s", a.Host, used, h.spec.Capacity)
	}
	if _, ok := m.firstStart[j.ID]; !ok {
		m.firstStart[j.ID] = m.now
	}
	delay := time.Duration(1+m.rnd(20)) * time.Millisecond
	if m.rnd(100) < m.faultPercent {
		m.schedule(delay, func() { m.refuse(h, a.Attempt) })
		return
	}
	if m.rnd(100) < m.faultPercent {
		// The start request is lost and never reaches the worker.
		delete(h.running, a.Attempt)
		m.schedule(delay, func() { m.s.Apply(m.now, TaskStartUnknown{Attempt: a.Attempt, Host: a.Host}) })
		return
	}
	m.runs[a.Attempt.Task]++
	if !j.Idempotent && m.runs[a.Attempt.Task] > 1 {
		m.violation("non-idempotent task %s ran twice", a.Attempt.Task)
	}
	m.schedule(delay, func() {
		if !m.runsOn(h, a.Attempt) {
			return
		}
		if m.rnd(100) < m.faultPercent {
			m.s.Apply(m.now, TaskStartUnknown{Attempt: a.Attempt, Host: a.Host})
			return
		}
		m.s.Apply(m.now, TaskStarted{Attempt: a.Attempt, Host: a.Host})
	})
	if j.Kind == work.Service {
		return
	}
	out, ran := work.Succeeded, m.runtime(j)
	if h.failing || m.rnd(100) < m.faultPercent {
		out, ran = work.Failed, ran/4
	}
	m.schedule(delay+ran, func() { m.end(h, a.Attempt, out) })
}

func (m *model) runsOn(h *modelHost, id work.AttemptID) bool { _, ok := h.running[id]; return ok }

func (m *model) refuse(h *modelHost, id work.AttemptID) {
	if m.runsOn(h, id) {
		delete(h.running, id)
		delete(m.intents, id.Task)
		m.s.Apply(m.now, TaskRefused{Attempt: id, Host: h.spec.ID, Reason: "no room"})
	}
}

func (m *model) end(h *modelHost, id work.AttemptID, out work.Outcome) {
	if r, ok := h.running[id]; ok {
		delete(h.running, id)
		m.s.Apply(m.now, TaskEnded{Attempt: id, Host: h.spec.ID, Outcome: out, Ran: m.now - r.since, Peak: r.size})
	}
}

func (m *model) stop(a StopTask) {
	h := m.host(a.Host)
	if h == nil || !m.runsOn(h, a.Attempt) {
		return
	}
	if j := m.jobs[a.Attempt.Task.Job]; !j.Idempotent && a.Reason != "job cancelled" {
		m.violation("non-idempotent task %s stopped: %s", a.Attempt, a.Reason)
	}
	if m.rnd(100) < m.faultPercent {
		return // The request is lost.
	}
	wait := 100 * time.Millisecond
	if a.Mode == StopCheckpoint {
		wait = time.Duration(m.rnd(6000)) * time.Millisecond
	}
	if a.Mode != StopThrottle {
		m.schedule(wait, func() { m.end(h, a.Attempt, work.Stopped) })
	}
}

// removeHost removes a host and all that runs on it.
func (m *model) removeHost(h *modelHost) {
	for i := range m.hosts {
		if m.hosts[i] == h {
			m.hosts = append(m.hosts[:i:i], m.hosts[i+1:]...)
			break
		}
	}
	clear(h.running)
	m.s.Apply(m.now, HostGone{Host: h.spec.ID})
}

// adopt reports everything that runs on h.
func (m *model) adopt(h *modelHost) {
	ev := HostAdopted{Host: h.spec.ID}
	for id, r := range h.running {
		ev.Running = append(ev.Running, RunningTask{Attempt: id, Size: r.size, Age: m.now - r.since})
	}
	sort.Slice(ev.Running, func(a, b int) bool { return ev.Running[a].Attempt.String() < ev.Running[b].Attempt.String() })
	m.s.Apply(m.now, ev)
}

func (m *model) addHost(h Host) *modelHost {
	mh := &modelHost{spec: h, running: map[work.AttemptID]modelRun{}}
	m.hosts = append(m.hosts, mh)
	m.s.Apply(m.now, HostChanged{Host: h})
	return mh
}

func (m *model) setState(h *modelHost, st HostState) {
	h.spec.State = st
	m.s.Apply(m.now, HostChanged{Host: h.spec})
}

func (m *model) addJob(j work.Job) {
	m.jobs[j.ID] = j
	m.s.Apply(m.now, JobAdded{Job: j, Count: j.Tasks})
}

func (m *model) usage() map[string]int64 {
	use := map[string]int64{}
	for _, h := range m.hosts {
		for id, r := range h.running {
			name := m.limitOfTeam[m.jobs[id.Task.Job].Team]
			n, _ := r.size.UnitsNeeded(m.limits[name].Unit)
			use[name] += n
		}
	}
	return use
}

// checkLimits requires that no limit is exceeded, except by what ran before the
// limit was lowered: use above the allotment must not grow.
func (m *model) checkLimits() {
	use := m.usage()
	for name := range m.limits {
		if n := use[name]; n > m.allotments[name] && n > m.maxUse[name] {
			m.violation("limit %s: %d used of %d", name, n, m.allotments[name])
		}
		m.maxUse[name] = max(use[name], m.allotments[name])
	}
}
