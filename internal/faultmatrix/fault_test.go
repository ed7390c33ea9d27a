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

// fault is one row of the matrix. inject causes the fault at the location where
// a step happens, waits until the fault had its effect, and ends the fault.
type fault struct {
	name   string
	inject func(c *cell, at location)
	// groups is the number of clusters that the steps are divided among; zero means one.
	groups int
	// slow faults are injected a second time only in runs with fresh seeds.
	slow bool
}

const (
	// faultDuration is how long a fault lasts unless another event ends it earlier.
	faultDuration = 500 * time.Millisecond
	// takeoverTimeout limits the wait until other nodes have taken over the shards
	// of a paused node.
	takeoverTimeout = 12 * time.Second
	// cancelledTasks is the number of tasks of the job that cancelManyTasks cancels.
	cancelledTasks = 10_000
)

// faults are the rows of the matrix. Each is injected twice at each step, except
// for slow faults.
var faults = []fault{
	{"process dies", func(c *cell, at location) { c.process(at).stop(syscall.SIGKILL); c.restart() }, 0, false},
	{"process pauses", func(c *cell, at location) { c.pause(c.process(at), faultDuration, never) }, 0, false},
	{"lease lapses while paused", func(c *cell, at location) {
		p := c.process(at)
		c.pause(p, takeoverTimeout, func() bool { return !c.owns(p) && c.authorityExpired(p) })
	}, 4, true},
	{"host fails", func(c *cell, at location) { h := c.host(at); h.Kill(); c.waitFaultDuration(); h.Restart() }, 0, false},
	{"sizes and run times far off", submitMisdeclaredJob, 0, false},
	{"job that can never run", submitInfeasibleJob, 0, false},
	{"wave of 10,000 cancellations", cancelManyTasks, 0, false},
	{"worker fails everything", workerFault(standin.Faults{FailAll: true}), 0, false},
	{"worker answer lost", workerFault(standin.Faults{LoseResponses: 2}), 0, false},
	{"log down", logFault(logsvc.Faults{Unavailable: true}), 0, false},
	{"log down for one node", func(c *cell, at location) {
		proxy := c.process(at).logProxy
		proxy.unavailable.Store(true)
		c.waitFaultDuration()
		proxy.unavailable.Store(false)
	}, 0, false},
	{"log slow", logFault(logsvc.Faults{Delay: 300 * time.Millisecond}), 0, false},
	{"log answer lost", logFault(logsvc.Faults{LoseResponses: 2}), 0, false},
	{"runner answer lost", loseRunnerResponses, 0, false},
	{"racing operators", publishConflicting, 0, false},
	{"silent connections", func(c *cell, _ location) {
		c.cluster.Fleet.BlackholeConnections()
		for _, r := range c.cluster.Runners {
			r.BlackholeConnections()
		}
		c.requestPair()
	}, 0, false},
	{"process dies while the log is down", func(c *cell, at location) {
		c.cluster.Log.SetFaults(logsvc.Faults{Unavailable: true})
		c.process(at).stop(syscall.SIGKILL)
		c.waitFaultDuration()
		c.cluster.Log.SetFaults(logsvc.Faults{})
		c.restart()
	}, 0, false},
	{"host and its owner die", func(c *cell, at location) {
		h := c.host(at)
		h.Kill()
		c.process(at).stop(syscall.SIGKILL)
		c.restart()
		h.Restart()
	}, 0, false},
}

func never() bool { return false }

// waitFaultDuration keeps the current fault active for faultDuration.
func (c *cell) waitFaultDuration() { c.waitFor(faultDuration, never) }

// process returns the node at a location, or the caller's entry node if the
// location names no node.
func (c *cell) process(at location) *process {
	for _, p := range c.processes {
		if p.name == at.node {
			return p
		}
	}
	return c.processes[c.entryIndex]
}

// host returns the worker at a location, or a random worker if the location
// names none.
func (c *cell) host(at location) *standin.Agent {
	if at.host == "" {
		at.host = fmt.Sprintf("worker-%03d", c.random.IntN(12))
	}
	return c.cluster.Fleet.Agent(at.host)
}

// restart starts every entry node whose process has exited.
func (tc *testCluster) restart() {
	for _, p := range tc.processes {
		if !p.alive() {
			if err := p.start(); err != nil {
				tc.recordViolation("%s failed to start: %v", p.name, err)
			}
		}
	}
}

func (c *cell) pause(p *process, limit time.Duration, until func() bool) {
	p.signal(syscall.SIGSTOP)
	c.waitFor(limit, until)
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

// authorityExpired reports whether the log shows that the authority of p has
// expired: enough renewals of other nodes follow the last renewal of p.
func (c *cell) authorityExpired(p *process) bool {
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

func logFault(f logsvc.Faults) func(*cell, location) {
	return func(c *cell, _ location) {
		c.cluster.Log.SetFaults(f)
		c.waitFaultDuration()
		c.cluster.Log.SetFaults(logsvc.Faults{})
	}
}

func workerFault(f standin.Faults) func(*cell, location) {
	return func(c *cell, at location) {
		h := c.host(at)
		h.SetFaults(f)
		c.waitFaultDuration()
		h.SetFaults(standin.Faults{})
	}
}

func loseRunnerResponses(c *cell, _ location) {
	for _, r := range c.cluster.Runners {
		r.SetFault(runner.Fault{CloseAfter: true, Times: 1})
	}
	c.requestPair()
	c.waitFaultDuration()
	for _, r := range c.cluster.Runners {
		r.SetFault(runner.Fault{})
	}
}

// submitMisdeclaredJob submits a job that declares a hundredth of its run time
// and more memory than it needs.
func submitMisdeclaredJob(c *cell, _ location) {
	spec := job(c.newID("far-off"), 8, true, "run=1s")
	spec.Runtime, spec.Size = objects.Duration(10*time.Millisecond), resource.Vector{MilliCPU: 100, MemoryMiB: 30_000}
	c.submit(c.entryIndex, ordersKey, spec, &trace{}, false)
	c.waitFaultDuration()
}

// submitInfeasibleJob submits a job whose tasks are too large for every host.
func submitInfeasibleJob(c *cell, _ location) {
	spec := job(c.newID("never"), 1, true, "run=1s")
	spec.Size.MilliCPU = 24_000
	_, err := c.client(c.entryIndex, ordersKey).Submit(c.ctx, spec, false)
	if err == nil || verdict.Of(err) == verdict.DidRun {
		c.recordViolation("a job that can never run was accepted")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[spec.ID] = &submittedJob{spec: spec, verdict: verdict.Of(err), refused: true}
}

// cancelManyTasks submits a job with many tasks and cancels it.
func cancelManyTasks(c *cell, _ location) {
	spec := job(c.newID("wave"), cancelledTasks, true, "")
	c.submit(c.entryIndex, ordersKey, spec, &trace{}, false)
	client := c.client(c.entryIndex, ordersKey)
	if !c.waitFor(stepTimeout, func() bool { _, err := client.Cancel(c.ctx, spec.ID); return err == nil }) {
		c.recordViolation("job %s was not cancelled within the time limit", spec.ID)
	}
}

// publishConflicting concurrently publishes two values of one object, both
// based on the same revision.
func publishConflicting(c *cell, _ location) {
	list, err := c.client(c.entryIndex, operatorToken).Objects(c.ctx, "", "")
	if err != nil {
		return
	}
	ends := make(chan error, 2)
	for i := range 2 {
		go func() {
			change := objects.Change{Kind: objects.KindLimit, Name: "franchise", Spec: limitSpec(40 + len(c.id) + c.entryIndex + i)}
			ends <- c.publishOn(c.ctx, c.client(c.entryIndex+i, operatorToken), list.Revision, []objects.Change{change})
		}()
	}
	if a, b := <-ends, <-ends; a == nil && b == nil {
		c.recordViolation("I10: two conflicting publications on revision %d were accepted", list.Revision)
	}
}

// requestPair sends an idempotent and a non-idempotent request.
func (c *cell) requestPair() {
	c.request(c.entryIndex, c.newID("request"), true)
	c.request(c.entryIndex, c.newID("request"), false)
}
