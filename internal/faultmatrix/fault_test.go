package faultmatrix

import (
	"fmt"
	"syscall"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/standin/runner"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// fault is one row: cause causes it where a step happens, returns once it had
// its effect, and ends it.
type fault struct {
	name  string
	cause func(c *cell, at place)
	// parts is the number of clusters that share the steps; one if zero.
	parts int
	// slow faults are caused twice only in runs with fresh seeds.
	slow bool
}

const (
	// shortly is how long a fault lasts that no other event ends.
	shortly = 500 * time.Millisecond
	// lapseWait bounds the wait for the takeover of a paused node's shards.
	lapseWait = 12 * time.Second
	// waveTasks is the number of tasks that one wave cancels.
	waveTasks = 10_000
)

// faults are the rows of the matrix. Each is caused twice at each step.
var faults = []fault{
	{"process dies", func(c *cell, at place) { c.process(at).stop(syscall.SIGKILL); c.restart() }, 0, false},
	{"process pauses", func(c *cell, at place) { c.pause(c.process(at), shortly, never) }, 0, false},
	{"lease lapses while paused", func(c *cell, at place) {
		p := c.process(at)
		c.pause(p, lapseWait, func() bool { return !c.owns(p) && c.lapsed(p) })
	}, 4, true},
	{"host fails", func(c *cell, at place) { h := c.host(at); h.Kill(); c.hold(); h.Restart() }, 0, false},
	{"sizes and run times far off", farOff, 0, false},
	{"job that can never run", neverRuns, 0, false},
	{"wave of 10,000 cancellations", wave, 0, false},
	{"worker fails everything", agentFault(standin.Faults{FailAll: true}), 0, false},
	{"worker answer lost", agentFault(standin.Faults{LoseAnswers: 2}), 0, false},
	{"log down", logFault(logsvc.Faults{Away: true}), 0, false},
	{"log down for one node", func(c *cell, at place) {
		g := c.process(at).logGate
		g.closed.Store(true)
		c.hold()
		g.closed.Store(false)
	}, 0, false},
	{"log slow", logFault(logsvc.Faults{Delay: 300 * time.Millisecond}), 0, false},
	{"log answer lost", logFault(logsvc.Faults{LoseAnswers: 2}), 0, false},
	{"runner answer lost", runnerAnswerLost, 0, false},
	{"racing operators", racingOperators, 0, false},
	{"silent connections", func(c *cell, _ place) {
		c.cluster.Fleet.SilenceConnections()
		for _, r := range c.cluster.Runners {
			r.SilenceConnections()
		}
		c.requestPair()
	}, 0, false},
	{"process dies while the log is down", func(c *cell, at place) {
		c.cluster.Log.SetFaults(logsvc.Faults{Away: true})
		c.process(at).stop(syscall.SIGKILL)
		c.hold()
		c.cluster.Log.SetFaults(logsvc.Faults{})
		c.restart()
	}, 0, false},
	{"host and its owner die", func(c *cell, at place) {
		h := c.host(at)
		h.Kill()
		c.process(at).stop(syscall.SIGKILL)
		c.restart()
		h.Restart()
	}, 0, false},
}

func never() bool { return false }

// hold lets a fault last.
func (c *cell) hold() { c.until(shortly, never) }

// process returns the node of a place, or the caller's entry node.
func (c *cell) process(at place) *process {
	for _, p := range c.processes {
		if p.name == at.node {
			return p
		}
	}
	return c.processes[c.first]
}

// host returns the worker of a place, or any.
func (c *cell) host(at place) *standin.Agent {
	if at.host == "" {
		at.host = fmt.Sprintf("worker-%03d", c.random.IntN(12))
	}
	return c.cluster.Fleet.Agent(at.host)
}

// restart starts the nodes that have ended.
func (w *world) restart() {
	for _, p := range w.processes {
		if !p.alive() {
			if err := p.start(); err != nil {
				w.fault("%s does not start: %v", p.name, err)
			}
		}
	}
}

func (c *cell) pause(p *process, limit time.Duration, until func() bool) {
	p.signal(syscall.SIGSTOP)
	c.until(limit, until)
	p.signal(syscall.SIGCONT)
}

func (c *cell) owns(p *process) bool {
	for _, owner := range c.owners() {
		if owner == p.name {
			return true
		}
	}
	return false
}

// lapsed reports whether the log has a later renewal of another node than the
// authority of p lasts.
func (c *cell) lapsed(p *process) bool {
	others, own := 0, 0
	for _, r := range c.records(0) {
		if r.record.GetRenewal() == nil {
			continue
		}
		if others++; r.node == p.name {
			others, own = 0, own+1
		}
	}
	// Three other nodes renew every 2 s, so this takes more than 6 s.
	return own > 0 && others > 4*(entryNodes-1)
}

func logFault(f logsvc.Faults) func(*cell, place) {
	return func(c *cell, _ place) {
		c.cluster.Log.SetFaults(f)
		c.hold()
		c.cluster.Log.SetFaults(logsvc.Faults{})
	}
}

func agentFault(f standin.Faults) func(*cell, place) {
	return func(c *cell, at place) {
		h := c.host(at)
		h.SetFaults(f)
		c.hold()
		h.SetFaults(standin.Faults{})
	}
}

func runnerAnswerLost(c *cell, _ place) {
	for _, r := range c.cluster.Runners {
		r.SetFault(runner.Fault{CloseAfter: true, Times: 1})
	}
	c.requestPair()
	c.hold()
	for _, r := range c.cluster.Runners {
		r.SetFault(runner.Fault{})
	}
}

// farOff submits a job that declares a hundredth of its run time and too much memory.
func farOff(c *cell, _ place) {
	spec := job(c.newID("far-off"), 8, true, "run=1s")
	spec.Runtime, spec.Size = objects.Duration(10*time.Millisecond), resource.Vector{MilliCPU: 100, MemoryMiB: 30_000}
	c.submit(c.first, ordersKey, spec, &trace{}, false)
	c.hold()
}

// neverRuns submits a job that fits no host.
func neverRuns(c *cell, _ place) {
	spec := job(c.newID("never"), 1, true, "run=1s")
	spec.Size.MilliCPU = 24_000
	_, err := c.client(c.first, ordersKey).Submit(c.ctx, spec, false)
	if err == nil || verdict.Of(err) == verdict.DidRun {
		c.fault("a job that can never run was accepted")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = &toldJob{spec: spec, verdict: verdict.Of(err), refused: true}
}

// wave cancels a job with many tasks.
func wave(c *cell, _ place) {
	spec := job(c.newID("wave"), waveTasks, true, "")
	c.submit(c.first, ordersKey, spec, &trace{}, false)
	client := c.client(c.first, ordersKey)
	if !c.until(stepWait, func() bool { _, err := client.Cancel(c.ctx, spec.ID); return err == nil }) {
		c.fault("%s cannot be cancelled", spec.ID)
	}
}

// racingOperators publishes two values of one object on the same revision.
func racingOperators(c *cell, _ place) {
	list, err := c.client(c.first, operatorToken).Objects(c.ctx, "", "")
	if err != nil {
		return
	}
	ends := make(chan error, 2)
	for i := range 2 {
		go func() {
			change := objects.Change{Kind: objects.KindLimit, Name: "franchise", Spec: limitSpec(40 + len(c.id) + c.first + i)}
			ends <- c.publishOn(c.ctx, c.client(c.first+i, operatorToken), list.Revision, []objects.Change{change})
		}()
	}
	if a, b := <-ends, <-ends; a == nil && b == nil {
		c.fault("I10: two conflicting publications on revision %d were accepted", list.Revision)
	}
}

// requestPair sends an idempotent and a non-idempotent request.
func (c *cell) requestPair() {
	c.request(c.first, c.newID("request"), true)
	c.request(c.first, c.newID("request"), false)
}
