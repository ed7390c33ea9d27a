package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// cluster is a set of fake hosts that carry out orders like real hosts: they
// start every run that they are ordered to, list their runs and keep ended runs
// until these are acknowledged. It records every order that violates a rule.
type cluster struct {
	s   *Scheduler
	now time.Duration
	// wallError is the error of the owner's wall clock; true wall-clock time is now.
	wallError time.Duration
	hosts     map[string]*fakeHost
	jobs      map[string]*cell.Submission
	queues    map[string]cell.Queue
	teams     map[string]cell.Team
	// done holds tasks with a run that ended as done; reportedDone holds those of
	// them whose end has been reported and not lost with the host.
	done, reportedDone map[cell.TaskID]bool
	failed             map[cell.TaskID]int
	state              map[string]cell.State
	violations         []string
	// fails decides whether a run fails.
	fails func(t cell.TaskID, run int64) bool
	// deadly decides whether a task crashes its host when it starts there. crashes counts
	// the crashes that a task caused, and startsAfter its starts after the third one.
	deadly               func(t cell.TaskID) bool
	crashes, startsAfter map[cell.TaskID]int
	// cutsDeadly is set if the hosts of such tasks are cut off when they crash.
	cutsDeadly bool
	// crashesUnder counts the hosts that crashed while a task ran there.
	crashesUnder map[cell.TaskID]int
	// idle decides whether a run reports that it uses no processor.
	idle func(t cell.TaskID) bool
	// takes returns how long a run takes whose estimate is given.
	takes func(t cell.TaskID, estimate time.Duration) time.Duration
	// adviceTakesTime is set if advice calls are answered after their duration; calls holds
	// those that are not answered yet, and callCount counts all by group.
	adviceTakesTime bool
	calls           []adviceCall
	callCount       map[cell.GroupID]int
	// approves decides whether the advice service lets a group run on a host.
	approves func(g cell.GroupID, host string) bool
}

func newCluster(hosts int, capacity resource.Vector) *cluster {
	c := &cluster{
		s: New(Options{GangTimeout: 3 * time.Second, Features: testFeatures}), now: time.Hour,
		hosts: make(map[string]*fakeHost), jobs: make(map[string]*cell.Submission),
		done: make(map[cell.TaskID]bool), reportedDone: make(map[cell.TaskID]bool), failed: make(map[cell.TaskID]int), state: make(map[string]cell.State),
		fails:  func(cell.TaskID, int64) bool { return false },
		idle:   func(cell.TaskID) bool { return false },
		deadly: func(cell.TaskID) bool { return false }, crashes: make(map[cell.TaskID]int), startsAfter: make(map[cell.TaskID]int), crashesUnder: make(map[cell.TaskID]int),
		approves:  func(cell.GroupID, string) bool { return true },
		callCount: make(map[cell.GroupID]int),
		takes:     func(_ cell.TaskID, estimate time.Duration) time.Duration { return estimate },
	}
	c.teams = map[string]cell.Team{"a": {Name: "a", Weight: 100}, "b": {Name: "b", Weight: 100}}
	c.queues = map[string]cell.Queue{}
	var list []cell.Host
	for i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		spec := cell.Host{ID: id, Service: "s", Capacity: capacity, Labels: []string{"k", fmt.Sprintf("r1-%d", i/3)}}
		c.hosts[id] = &fakeHost{id: id, spec: spec, startedMs: 1}
		list = append(list, spec)
	}
	c.s.SetHosts(list)
	c.s.SetListedHosts(list)
	c.pollHosts()
	c.s.MarkReconciled(c.now)
	return c
}

// wall returns the reading of the owner's wall clock.
func (c *cluster) wall() time.Duration { return c.now + c.wallError }

func (c *cluster) publish() {
	d := &cell.Desired{Teams: c.teams}
	for _, q := range c.queues {
		d.Queues = append(d.Queues, q)
	}
	c.s.SetDesired(d)
}

func (c *cluster) queue(q cell.Queue) {
	q.Service = "s"
	c.queues[q.Name] = q
	c.publish()
}

func (c *cluster) submit(id, queue, team string, steps ...cell.Step) {
	sub := &cell.Submission{ID: id, Team: team, Queue: c.queues[queue], Steps: steps, Received: c.now}
	c.jobs[id] = sub
	c.s.Add(sub, cell.Progress{}, false, c.now, c.wall())
}

func (c *cluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) ids() []string {
	out := make([]string, 0, len(c.hosts))
	for id := range c.hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// jobIDs returns the submissions in the order in which they were accepted.
func (c *cluster) jobIDs() []string {
	ids := slices.Collect(maps.Keys(c.jobs))
	slices.SortFunc(ids, func(a, b string) int {
		if d := cmp.Compare(c.jobs[a].Received, c.jobs[b].Received); d != 0 {
			return d
		}
		return cmp.Compare(a, b)
	})
	return ids
}

// start checks a start order against every rule that hosts do not enforce.
func (c *cluster) start(o Start) {
	h, sub := c.hosts[o.Host], c.jobs[o.Task.Submission]
	step := sub.Steps[o.Task.Step]
	if c.state[sub.ID].Final() {
		c.violation("%s starts after its submission was %s", o.Task, c.state[sub.ID])
	}
	if c.reportedDone[o.Task] {
		c.violation("%s starts after it was done", o.Task)
	}
	if m := c.queues[sub.Queue.Name].MaxAttempts; m > 0 && !step.Gang && c.failed[o.Task] >= m {
		c.violation("%s starts after %d failed runs", o.Task, c.failed[o.Task])
	}
	for _, a := range step.After {
		for i := range sub.Steps[a].Count {
			if before := (cell.TaskID{Submission: sub.ID, Step: a, Index: i}); !c.done[before] {
				c.violation("%s starts before %s is done", o.Task, before)
			}
		}
	}
	used := step.Reserved()
	onHost := 1
	var team resource.Vector
	for _, other := range c.hosts {
		for _, r := range other.runs {
			s := c.jobs[r.task.Submission]
			team = team.Add(teamUsage(s, sub, r))
			if r.task == o.Task && (!step.AllowCopies || other == h) {
				c.violation("%s starts twice", o.Task)
			}
			if other != h {
				continue
			}
			used = used.Add(s.Steps[r.task.Step].Reserved())
			if r.task.Group() == o.Task.Group() {
				onHost++
			}
		}
	}
	if !used.Fits(h.spec.Capacity) {
		c.violation("%s exceeds the capacity of %s: %s", o.Task, h.id, used)
	}
	if step.MaxPerHost > 0 && onHost > step.MaxPerHost {
		c.violation("%s is task %d of its step on %s, over its bound per host", o.Task, onHost, h.id)
	}
	limit := c.teams[sub.Team].Limit
	if limit.MilliCPU > 0 && team.MilliCPU+step.Size.MilliCPU > limit.MilliCPU {
		c.violation("%s brings team %s over its limit", o.Task, sub.Team)
	}
	if !c.approves(o.Task.Group(), o.Host) && c.queues[sub.Queue.Name].Advice != nil {
		c.violation("%s starts on %s without approval", o.Task, o.Host)
	}
	h.runs = append(h.runs, &fakeRun{task: o.Task, run: o.Run, endsAt: c.now + c.takes(o.Task, step.Estimate)})
	if c.crashes[o.Task] >= 3 {
		c.startsAfter[o.Task]++
	}
	if c.deadly(o.Task) {
		c.crashes[o.Task]++
		if c.cutsDeadly {
			c.crashSilently(h.id)
		} else {
			c.crash(h.id)
		}
	}
}

// teamUsage returns the size of a run of submission s if it belongs to the team
// of sub, and zero otherwise.
func teamUsage(s, sub *cell.Submission, r *fakeRun) resource.Vector {
	if s.Team != sub.Team {
		return resource.Vector{}
	}
	return s.Steps[r.task.Step].Size
}

// advance moves the time forward by d and carries out one decision; every order
// is answered.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	c.restartCrashed()
	c.answerAdvice(func(call adviceCall) bool { return c.now >= call.due })
	c.endDueRuns()
	c.pollHosts()
	c.decide(nil)
}

// decide carries out one decision. deliver returns how a start order is
// delivered: 0 it is answered, 1 its answer is lost, 2 the order itself is lost,
// 3 it is refused.
func (c *cluster) decide(deliver func(Start) int) {
	p := c.s.Decide(c.now, c.wall())
	c.recordStates()
	for _, o := range p.Starts {
		delivery := 0
		if deliver != nil {
			delivery = deliver(o)
		}
		if h := c.hosts[o.Host]; h.unreachable && delivery == 0 {
			delivery = 2
		}
		if delivery < 2 {
			c.start(o)
		}
		switch delivery {
		case 0:
			c.s.Started(o.Host, o.Task, o.Run, c.now)
		case 1, 2:
			c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
		case 3:
			c.s.Refused(o.Host, o.Task, o.Run, RefusedUnhealthy, c.now)
		}
	}
	for _, o := range p.Stops {
		h := c.hosts[o.Host]
		if h == nil {
			continue // it was replaced
		}
		if h.unreachable {
			c.s.StopFailed(o.Host, o.Task, o.Run, c.now)
			continue
		}
		for _, r := range h.runs {
			if r.task == o.Task && r.run <= o.Run {
				r.endsAt, r.stopped = c.now, true
			}
		}
		c.s.StopAccepted(o.Host, o.Task, o.Run, c.now, c.now)
	}
	c.answerAdviceRequests(p)
	c.recordStates()
}

// recordStates records the states that callers would see.
func (c *cluster) recordStates() {
	for _, id := range c.s.Changed() {
		if p, ok := c.s.Progress(id); ok {
			c.state[id] = p.State
		}
	}
}

// stepUntilFinished advances by d until all submissions have finished, at
// most n times. It reports whether they have.
func (c *cluster) stepUntilFinished(n int, d time.Duration) bool {
	for range n {
		open := 0
		for id := range c.jobs {
			if !c.state[id].Final() {
				open++
			}
		}
		if open == 0 {
			return true
		}
		c.advance(d)
	}
	return false
}

// relist passes the present hosts to the scheduler, as the host list shows them.
func (c *cluster) relist() {
	var list []cell.Host
	for _, id := range c.ids() {
		h := c.hosts[id]
		h.spec.StartedMs = h.startedMs
		list = append(list, h.spec)
	}
	c.s.SetHosts(list)
	c.s.SetListedHosts(list)
}
