package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// cluster is a set of hosts that carry out orders as the users' hosts do: they
// start whatever they are told, list their runs and keep their ends until these
// are acknowledged. It records every rule that an order breaks.
type cluster struct {
	s      *Scheduler
	now    time.Duration
	hosts  map[string]*fakeHost
	jobs   map[string]*cell.Submission
	queues map[string]cell.Queue
	teams  map[string]cell.Team
	// done are tasks with a run that ended as done; noted are those of which the
	// end has been listed, as opposed to lost with its host.
	done, noted map[cell.TaskID]bool
	failed      map[cell.TaskID]int
	state       map[string]cell.State
	faults      []string
	// fails decides whether a run fails.
	fails func(t cell.TaskID, run int64) bool
	// approves decides whether the advice service lets a group run on a host.
	approves func(g cell.GroupID, host string) bool
}

type fakeRun struct {
	task    cell.TaskID
	run     int64
	ends    time.Duration
	stopped bool
}

type fakeHost struct {
	id    string
	spec  cell.Host
	runs  []*fakeRun
	ended []cell.Ended
	count int64
	born  int64
	down  bool
}

func newCluster(hosts int, capacity resource.Vector) *cluster {
	c := &cluster{
		s: New(Options{GangTimeout: 3 * time.Second}), now: time.Hour,
		hosts: make(map[string]*fakeHost), jobs: make(map[string]*cell.Submission),
		done: make(map[cell.TaskID]bool), noted: make(map[cell.TaskID]bool), failed: make(map[cell.TaskID]int), state: make(map[string]cell.State),
		fails:    func(cell.TaskID, int64) bool { return false },
		approves: func(cell.GroupID, string) bool { return true },
	}
	c.teams = map[string]cell.Team{"a": {Name: "a", Weight: 100}, "b": {Name: "b", Weight: 100}}
	c.queues = map[string]cell.Queue{}
	var list []cell.Host
	for i := range hosts {
		id := fmt.Sprintf("h%02d", i)
		spec := cell.Host{ID: id, Service: "s", Capacity: capacity, Labels: []string{"k", fmt.Sprintf("r1-%d", i/3)}}
		c.hosts[id] = &fakeHost{id: id, spec: spec, born: 1}
		list = append(list, spec)
	}
	c.s.SetHosts(list)
	c.s.SetListed(list)
	c.look()
	c.s.Settle(c.now)
	return c
}

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
	c.s.Add(sub, cell.Progress{}, false, c.now, c.now)
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) ids() []string {
	out := make([]string, 0, len(c.hosts))
	for id := range c.hosts {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// start checks an order against every rule that hosts do not guard.
func (c *cluster) start(o Start) {
	h, sub := c.hosts[o.Host], c.jobs[o.Task.Submission]
	step := sub.Steps[o.Task.Step]
	if c.state[sub.ID].Final() {
		c.fault("%s starts after its submission was %s", o.Task, c.state[sub.ID])
	}
	if c.noted[o.Task] {
		c.fault("%s starts after it was done", o.Task)
	}
	if m := c.queues[sub.Queue.Name].MaxAttempts; m > 0 && !step.Gang && c.failed[o.Task] >= m {
		c.fault("%s starts after %d failed runs", o.Task, c.failed[o.Task])
	}
	for _, a := range step.After {
		for i := range sub.Steps[a].Count {
			if before := (cell.TaskID{Submission: sub.ID, Step: a, Index: i}); !c.done[before] {
				c.fault("%s starts before %s is done", o.Task, before)
			}
		}
	}
	used := step.Reserved()
	same := 1
	var team resource.Vector
	for _, other := range c.hosts {
		for _, r := range other.runs {
			s := c.jobs[r.task.Submission]
			team = team.Add(teamOf(s, sub, r))
			if r.task == o.Task && (!step.Copies || other == h) {
				c.fault("%s starts twice", o.Task)
			}
			if other != h {
				continue
			}
			used = used.Add(s.Steps[r.task.Step].Reserved())
			if r.task.Group() == o.Task.Group() {
				same++
			}
		}
	}
	if !used.Fits(h.spec.Capacity) {
		c.fault("%s overfills %s: %s", o.Task, h.id, used)
	}
	if step.MaxPerHost > 0 && same > step.MaxPerHost {
		c.fault("%s is number %d of its step on %s", o.Task, same, h.id)
	}
	limit := c.teams[sub.Team].Cap
	if limit.MilliCPU > 0 && team.MilliCPU+step.Size.MilliCPU > limit.MilliCPU {
		c.fault("%s brings team %s over its limit", o.Task, sub.Team)
	}
	if !c.approves(o.Task.Group(), o.Host) && c.queues[sub.Queue.Name].Advice != nil {
		c.fault("%s starts on %s without approval", o.Task, o.Host)
	}
	h.runs = append(h.runs, &fakeRun{task: o.Task, run: o.Run, ends: c.now + step.Estimate})
}

func teamOf(s, sub *cell.Submission, r *fakeRun) resource.Vector {
	if s.Team != sub.Team {
		return resource.Vector{}
	}
	return s.Steps[r.task.Step].Size
}

// step lets time pass and carries out one decision, with every order answered.
func (c *cluster) step(d time.Duration) {
	c.now += d
	c.work()
	c.look()
	c.decide(nil)
}

// decide carries out one decision. lost tells what becomes of an order: 0 it is
// answered, 1 its answer is lost, 2 it is lost itself, 3 it is refused.
func (c *cluster) decide(lost func(Start) int) {
	p := c.s.Decide(c.now, c.now)
	c.track()
	for _, o := range p.Starts {
		what := 0
		if lost != nil {
			what = lost(o)
		}
		if h := c.hosts[o.Host]; h.down && what == 0 {
			what = 2
		}
		if what < 2 {
			c.start(o)
		}
		switch what {
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
		if h.down {
			c.s.StopUnanswered(o.Host, o.Task, o.Run, c.now)
			continue
		}
		for _, r := range h.runs {
			if r.task == o.Task && r.run <= o.Run {
				r.ends, r.stopped = c.now, true
			}
		}
		c.s.StopAnswered(o.Host, o.Task, o.Run, c.now)
	}
	c.answerAsks(p)
	c.track()
}

// answerAsks answers the calls for advice of a plan.
func (c *cluster) answerAsks(p *Plan) {
	for _, a := range p.Asks {
		tickets := map[string]string{}
		for _, h := range a.Hosts {
			if c.approves(a.Group, h) {
				tickets[h] = "t"
			}
		}
		c.s.Advised(a.Group, a.Hosts, tickets, c.now)
	}
}

// track reads the states that would be shown to callers.
func (c *cluster) track() {
	for _, id := range c.s.Changed() {
		if p, ok := c.s.Progress(id); ok {
			c.state[id] = p.State
		}
	}
}

// work ends runs whose time is over. Members of a gang work only together.
func (c *cluster) work() {
	for _, id := range c.ids() {
		h := c.hosts[id]
		var left []*fakeRun
		for _, r := range h.runs {
			if r.ends > c.now || !r.stopped && !c.complete(r) {
				left = append(left, r)
				continue
			}
			c.endRun(h, r)
		}
		h.runs = left
	}
}

// complete reports whether every member of a run's gang is present or done.
func (c *cluster) complete(r *fakeRun) bool {
	step := c.jobs[r.task.Submission].Steps[r.task.Step]
	if !step.Gang {
		return true
	}
	n := 0
	for _, h := range c.hosts {
		for _, o := range h.runs {
			if o.task.Group() == r.task.Group() && o.run == r.run {
				n++
				if o.ends > c.now {
					return false
				}
			}
		}
	}
	for i := range step.Count { // the end of one member ends the others
		if c.done[cell.TaskID{Submission: r.task.Submission, Step: r.task.Step, Index: i}] {
			r.stopped = false
			return true
		}
	}
	return n == step.Count
}

func (c *cluster) endRun(h *fakeHost, r *fakeRun) {
	how := cell.OutcomeDone
	switch {
	case r.stopped:
		how = cell.OutcomeStopped
	case c.fails(r.task, r.run):
		how = cell.OutcomeFailed
	default:
		c.done[r.task] = true
		if step := c.jobs[r.task.Submission].Steps[r.task.Step]; step.Gang {
			for i := range step.Count { // one done end stands for the gang
				c.done[cell.TaskID{Submission: r.task.Submission, Step: r.task.Step, Index: i}] = true
			}
		}
	}
	h.count++
	h.ended = append(h.ended, cell.Ended{Number: h.count, Task: r.task, Run: r.run, Outcome: how})
}

// look lists every host that answers. Acknowledged ends are forgotten.
func (c *cluster) look() {
	for _, id := range c.ids() {
		h := c.hosts[id]
		if h.down {
			continue
		}
		for _, e := range h.ended {
			c.noted[e.Task] = c.noted[e.Task] || e.Outcome == cell.OutcomeDone
			if e.Outcome == cell.OutcomeFailed {
				c.failed[e.Task]++
			}
		}
		c.s.Listed(id, c.now, c.now, h.listing())
		h.ended = nil
	}
	c.track()
}

func (h *fakeHost) listing() cell.Listing {
	l := cell.Listing{Born: h.born, Ended: h.ended}
	for _, r := range h.runs {
		l.Running = append(l.Running, cell.Running{Task: r.task, Run: r.run, Usage: 1, Percent: 100})
	}
	return l
}

// restart begins a new life of a host: it holds and knows nothing of before.
func (c *cluster) restart(id string) {
	h := c.hosts[id]
	h.runs, h.ended, h.count, h.down = nil, nil, 0, false
	h.born++
}

// until steps until all submissions have one of the states, for at most n steps.
func (c *cluster) until(n int, d time.Duration) bool {
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
		c.step(d)
	}
	return false
}
