package schedule

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// replayTick is the time between two decisions of a replay.
	replayTick = 20 * time.Millisecond
	// replayHostCores is the size of a host of a replay.
	replayHostCores = 64
	// replayLongCall is from when on a call occupies a node alone, as in package peers.
	replayLongCall = 150 * time.Millisecond
)

// replayOptions describe a replay.
type replayOptions struct {
	hosts, nodes int
	// load is the offered load as a part of the capacity.
	load     float64
	seed     uint64
	arrivals time.Duration
	// burst times the load is offered from burstFrom to burstTo after the begin.
	burst              float64
	burstFrom, burstTo time.Duration
	// cut is how many nodes make no advice calls from cutFrom to cutTo after the begin.
	cut            int
	cutFrom, cutTo time.Duration
	// kinds are the kinds of work; replayKinds if nil.
	kinds    []replayKind
	features Features
}

// replay is a cell of hosts and nodes to which work of several kinds is submitted. Unlike
// cluster it models no faults, so that some hundred hosts take little time.
type replay struct {
	options replayOptions
	s       *Scheduler
	now     time.Duration
	hosts   map[string]*replayHost
	ids     []string
	jobs    map[string]*replayJob
	arrive  []*replayJob
	steps   map[string]cell.Step
	// runsStarted counts the runs of each submission that have started.
	runsStarted map[string]int
	// nodes is until when each node has advice calls to make.
	nodes      []time.Duration
	calls      []adviceCall
	totals     replayTotals
	started    time.Duration
	violations []string
	r          *rand.Rand
}

func newReplay(o replayOptions) *replay {
	if o.kinds == nil {
		o.kinds = replayKinds
	}
	p := &replay{
		options: o, s: New(Options{GangTimeout: 3 * time.Second, Features: o.features}), now: time.Hour, started: time.Hour,
		hosts: make(map[string]*replayHost), jobs: make(map[string]*replayJob), steps: make(map[string]cell.Step), runsStarted: make(map[string]int),
		nodes: make([]time.Duration, o.nodes), totals: replayTotals{calls: make(map[string]time.Duration)}, r: rand.New(rand.NewPCG(o.seed, 1)),
	}
	var list []cell.Host
	for i := range o.hosts {
		spec := cell.Host{
			ID: fmt.Sprintf("h%03d", i), Service: "s", Labels: []string{fmt.Sprintf("r1-%d", i/10)},
			Capacity: resource.Vector{MilliCPU: replayHostCores * 1000, MemoryMiB: 256 * 1024},
		}
		p.hosts[spec.ID] = &replayHost{spec: spec}
		p.ids, list = append(p.ids, spec.ID), append(list, spec)
	}
	p.s.SetHosts(list)
	p.s.SetListedHosts(list)
	d := &cell.Desired{Teams: map[string]cell.Team{}}
	for i := range 20 {
		name := fmt.Sprintf("t%d", i)
		d.Teams[name] = cell.Team{Name: name, Weight: 1000}
	}
	for i := range o.kinds {
		o.kinds[i].queue.Service = "s"
		d.Queues = append(d.Queues, o.kinds[i].queue)
	}
	p.s.SetDesired(d)
	for _, id := range p.ids {
		p.s.ApplyReport(id, p.now, p.now, p.hosts[id].report(nil))
	}
	p.s.MarkReconciled(p.now)
	p.drawArrivals()
	return p
}

// drawArrivals draws what arrives, and when.
func (p *replay) drawArrivals() {
	cores := p.options.load * float64(p.options.hosts) * replayHostCores
	for i := range p.options.kinds {
		k := &p.options.kinds[i]
		at := p.now
		for n := 0; ; n++ {
			at += time.Duration(p.r.ExpFloat64() / (k.rate(cores) * p.options.burst) * float64(time.Second))
			if at >= p.now+p.options.arrivals {
				break
			}
			if p.r.Float64()*p.options.burst > p.loadFactor(at-p.now) {
				continue
			}
			step, takes := k.draw(p.r)
			j := &replayJob{
				id: fmt.Sprintf("%s%05d", k.queue.Name, n), kind: k, team: fmt.Sprintf("t%d", p.r.IntN(20)), arrives: at, takes: takes,
				left: step.Count, cores: float64(step.Count) * float64(step.Size.MilliCPU) / 1000,
			}
			p.steps[j.id] = step
			p.arrive, p.jobs[j.id] = append(p.arrive, j), j
		}
	}
	slices.SortStableFunc(p.arrive, func(a, b *replayJob) int { return int(a.arrives - b.arrives) })
}

// loadFactor returns by how much the load at a time exceeds the usual one.
func (p *replay) loadFactor(at time.Duration) float64 {
	if at >= p.options.burstFrom && at < p.options.burstTo {
		return p.options.burst
	}
	return 1
}

// run carries the replay out until all work has ended, or for a time after the last arrival.
func (p *replay) run(after time.Duration) {
	next, end := 0, p.now+p.options.arrivals
	for p.now < end+after {
		p.now += replayTick
		for ; next < len(p.arrive) && p.arrive[next].arrives <= p.now; next++ {
			p.submit(p.arrive[next])
		}
		p.endRuns()
		p.answerCalls()
		p.s.SetAdviceRoom(p.adviceRoom())
		p.carryOut(p.s.Decide(p.now, p.now))
		p.s.TakeLogMessages()
		p.countReserved()
		for _, id := range p.s.Changed() {
			if progress, ok := p.s.Progress(id); ok && progress.State.Final() && p.jobs[id].left > 0 {
				p.violations = append(p.violations, id+" is final before its tasks have ended")
			}
		}
		if next == len(p.arrive) && !slices.ContainsFunc(p.arrive, func(j *replayJob) bool { return j.left > 0 }) {
			return
		}
	}
}

func (p *replay) submit(j *replayJob) {
	sub := &cell.Submission{ID: j.id, Team: j.team, Queue: j.kind.queue, Steps: []cell.Step{p.steps[j.id]}, Received: j.arrives}
	p.s.Add(sub, cell.Progress{}, false, p.now, p.now)
	j.urgency = p.s.jobs[j.id].objective()
}

// endRuns ends the runs that are due and reports the hosts on which some have ended.
func (p *replay) endRuns() {
	inArrivals := p.inArrivals()
	for _, id := range p.ids {
		h := p.hosts[id]
		if inArrivals {
			p.totals.used += float64(h.used) / 1000 * replayTick.Seconds()
		}
		ended := h.endRuns(p.now)
		if len(ended) == 0 {
			continue
		}
		for _, r := range ended {
			j := p.jobs[r.task.Submission]
			if r.stopped {
				j.restarts++
				continue
			}
			j.left--
			j.endedAt = r.endsAt
		}
		p.s.ApplyReport(id, p.now, p.now, h.report(ended))
	}
}

// inArrivals reports whether work still arrives.
func (p *replay) inArrivals() bool { return p.now <= p.started+p.options.arrivals }

// countReserved counts the free cores that are kept for gangs.
func (p *replay) countReserved() {
	if !p.inArrivals() {
		return
	}
	for _, h := range p.s.sortedHosts {
		p.totals.reserved += float64(min(h.reserved.MilliCPU, max(h.free().MilliCPU, 0))) / 1000 * replayTick.Seconds()
	}
}

// usableNodes returns the nodes that are not cut off.
func (p *replay) usableNodes() []time.Duration {
	if at := p.now - p.started; at >= p.options.cutFrom && at < p.options.cutTo {
		return p.nodes[p.options.cut:]
	}
	return p.nodes
}

// adviceRoom returns the room for calls as package peers counts it.
func (p *replay) adviceRoom() cell.AdviceRoom {
	n := len(p.usableNodes())
	long := min(n, max(n-max(n/3, 1), 1))
	room := cell.AdviceRoom{LongFrom: replayLongCall, Long: long}
	free := n
	for _, c := range p.calls {
		if c.request.Duration >= replayLongCall {
			free--
		}
	}
	room.Short = 2 * free
	for _, c := range p.calls {
		room.Take(c.request.Duration)
	}
	return room
}

func (p *replay) answerCalls() {
	p.calls = answerDueCalls(p.s, p.calls, func(c adviceCall) bool { return c.due <= p.now }, p.approves, p.now)
}

// approves reports whether the advice service lets a group run on a host.
func (p *replay) approves(g cell.GroupID, host string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, host, g)
	return float64(h.Sum32()%10007)/10007 < p.jobs[g.Submission].kind.approved
}

// carryOut starts and stops runs, and sends each advice call to the node that is free first.
func (p *replay) carryOut(plan *Plan) {
	for _, o := range plan.Starts {
		p.start(o)
		p.s.Started(o.Host, o.Task, o.Run, p.now)
	}
	for _, o := range plan.Stops {
		p.stop(o)
		p.s.StopAccepted(o.Host, o.Task, o.Run, p.now, p.now)
	}
	for _, a := range plan.AdviceRequests {
		nodes, best := p.usableNodes(), 0
		for i := range nodes {
			if nodes[i] < nodes[best] {
				best = i
			}
		}
		nodes[best] = max(nodes[best], p.now) + a.Duration
		p.totals.addCall(p.callKind(a), a.Duration)
		p.calls = append(p.calls, adviceCall{a, nodes[best]})
	}
}

// callKind returns the kind of an advice call: the queue, and for gangs whether it renews tickets
// or names hosts that are undecided.
func (p *replay) callKind(a AdviceRequest) string {
	k := p.jobs[a.Group.Submission].kind
	if !k.gang {
		return k.queue.Name
	}
	if g := p.s.group(a.Group); g.approved(p.s.hosts[a.Hosts[0]]) {
		return k.queue.Name + ", renewals"
	}
	return k.queue.Name + ", undecided hosts"
}

func (p *replay) start(o Start) {
	h, j, step := p.hosts[o.Host], p.jobs[o.Task.Submission], p.steps[o.Task.Submission]
	h.used += step.Size.MilliCPU
	if h.used > h.spec.Capacity.MilliCPU {
		p.violations = append(p.violations, o.Task.String()+" exceeds the capacity of "+o.Host)
	}
	if !p.approves(o.Task.Group(), o.Host) {
		p.violations = append(p.violations, o.Task.String()+" starts without approval")
	}
	if !j.started {
		j.started, j.wait = true, p.now-j.arrives
	}
	if r := p.runsStarted[j.id] + 1; r <= len(j.takes) {
		p.runsStarted[j.id] = r
		j.whole = p.now - j.arrives
	}
	h.runs = append(h.runs, replayRun{task: o.Task, run: o.Run, milli: step.Size.MilliCPU, began: p.now, endsAt: p.now + j.takes[o.Task.Index]})
}

// stop ends a run some time after the order, as a run that is stopped may take 200 to 900 ms.
func (p *replay) stop(o Stop) {
	p.totals.stops++
	for i := range p.hosts[o.Host].runs {
		r := &p.hosts[o.Host].runs[i]
		if at := p.now + time.Duration(200+p.r.IntN(700))*time.Millisecond; r.task == o.Task && r.run <= o.Run && at < r.endsAt {
			r.endsAt, r.stopped = at, true
		}
	}
}
