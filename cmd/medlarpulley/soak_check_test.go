package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/node"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

const (
	// soakHostTaskLimit is the number of tasks that fit on a host.
	soakHostTaskLimit = 8
	// soakCancelGracePeriod is how long after the acknowledgement of a
	// cancellation a task of the job may still start; it covers all delays that
	// the faults of a soak cause.
	soakCancelGracePeriod = 12 * time.Second
)

// soakRun is one run of a task on a host.
type soakRun struct {
	users.RunRecord
	host string
}

// endedBefore reports whether the run ended no later than the start of other.
func (r soakRun) endedBefore(other soakRun) bool {
	return !r.EndedAt.IsZero() && !r.EndedAt.After(other.StartedAt)
}

// waitForAll waits until every accepted job is shown as completed or cancelled.
// For a job that is not, it fails with what each process knows about it.
func (s *soak) waitForAll() {
	end := time.Now().Add(soakCompletionTimeout)
	for _, j := range s.jobs {
		if !j.accepted {
			continue
		}
		last := ""
		for {
			code, state := s.node(0).call(http.MethodGet, j.id, "")
			last = fmt.Sprintf("%d %s", code, state)
			if code == http.StatusOK && (strings.Contains(state, "completed") || j.cancelAttempted && strings.Contains(state, "cancelled")) {
				break
			}
			if time.Now().After(end) {
				s.t.Fatalf("LOST: job %s of %d was accepted and has not ended %s after the faults: %s\n%s", j.id, len(s.jobs), soakCompletionTimeout, last, s.explain(j.id))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// explain returns what each process knows about a job, and the dump of its state.
func (s *soak) explain(id string) string {
	var out strings.Builder
	for i := range soakNodes {
		for _, path := range []string{"/explain/" + id, "/dump"} {
			resp, err := http.Get("http://" + s.node(i).status + path)
			if err != nil {
				fmt.Fprintf(&out, "node %d: %v\n", i, err)
				continue
			}
			data, err := io.ReadAll(resp.Body)
			fmt.Fprintf(&out, "node %d: %s %v\n", i, data, err)
			_ = resp.Body.Close() // the body has been read
		}
	}
	return out.String()
}

// checkNodes waits until every process is ready, and the processes that follow
// the work topic agree on the owner.
func (s *soak) checkNodes() {
	waitUntil(s.t, "every process is ready and agrees on the owner", func() bool {
		tokens := make(map[int64]bool)
		for i := range soakNodes {
			d, err := s.dump(i)
			if err != nil || !d.Ready {
				return false
			}
			if d.Node.Follows {
				tokens[d.Owner.Token] = true
			}
		}
		return len(tokens) == 1
	})
}

// dump returns the state that a process reports at /dump.
func (s *soak) dump(i int) (d node.Dump, err error) {
	resp, err := http.Get("http://" + s.node(i).status + "/dump")
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	return d, json.NewDecoder(resp.Body).Decode(&d)
}

// check compares the run histories of the hosts with the responses that the
// clients got.
func (s *soak) check() {
	runs := make(map[string][]soakRun)
	for _, h := range s.hosts {
		var hostRuns []soakRun
		for _, r := range h.History() {
			run := soakRun{RunRecord: r, host: h.ID}
			hostRuns = append(hostRuns, run)
			runs[r.Task] = append(runs[r.Task], run)
		}
		s.checkHostLimit(hostRuns)
	}
	accepted := 0
	for _, j := range s.jobs {
		if j.accepted {
			accepted++
		}
		s.checkJob(j, runs)
	}
	for task, list := range runs {
		s.checkTask(task, list)
	}
	s.t.Logf("seed %d: %d jobs, %d accepted, %d tasks with runs", *soakSeed, len(s.jobs), accepted, len(runs))
}

// checkHostLimit fails if a host ran more tasks at once than fit on it.
func (s *soak) checkHostLimit(hostRuns []soakRun) {
	for _, r := range hostRuns {
		n := 0
		for _, other := range hostRuns {
			if !other.StartedAt.After(r.StartedAt) && !other.endedBefore(r) {
				n++
			}
		}
		if n > soakHostTaskLimit {
			s.t.Errorf("LIMIT: %d tasks on %s at the start of %s", n, r.host, r.Task)
		}
	}
}

// checkTask fails if runs of a task overlap, or if a run starts after the end of
// an earlier one was acknowledged as done.
func (s *soak) checkTask(task string, list []soakRun) {
	for i, a := range list {
		for k, b := range list {
			if i == k || b.StartedAt.Before(a.StartedAt) {
				continue
			}
			if !a.endedBefore(b) {
				s.t.Errorf("TWICE: %s: run %d on %s starts while run %d is still on %s", task, b.Run, b.host, a.Run, a.host)
			}
			if a.Outcome == "done" && !a.AckedAt.IsZero() && a.AckedAt.Before(b.StartedAt) {
				s.t.Errorf("TWICE: %s: run %d on %s starts after run %d was acknowledged as done", task, b.Run, b.host, a.Run)
			}
		}
	}
}

// checkJob fails if a job is shown as completed and is not, if a task starts
// though its job was refused or cancelled, or if a step starts before the step
// before it is done.
func (s *soak) checkJob(j *soakJob, runs map[string][]soakRun) {
	var previous []soakRun
	for step, n := range j.tasks {
		var stepRuns []soakRun
		for i := range n {
			stepRuns = append(stepRuns, runs[fmt.Sprintf("%s.0.%d.%d", j.id, step, i)]...)
		}
		if j.accepted && !j.cancelAttempted && !j.stepDoneBefore(stepRuns, n, time.Now()) {
			s.t.Errorf("MIXED: job %s is shown as completed, but its step %d is not done", j.id, step)
		}
		for _, r := range stepRuns {
			switch {
			case !j.accepted && !j.outcomeUnknown:
				s.t.Errorf("REFUSED: %s starts, but every attempt to submit its job was refused", r.Task)
			case !j.cancelledAt.IsZero() && r.StartedAt.After(j.cancelledAt.Add(soakCancelGracePeriod)):
				s.t.Errorf("UNASKED: %s starts %s after its cancellation was acknowledged", r.Task, r.StartedAt.Sub(j.cancelledAt))
			}
			if step > 0 && !j.stepDoneBefore(previous, j.tasks[step-1], r.StartedAt) {
				s.t.Errorf("ORDER: %s starts before step %d is done", r.Task, step-1)
			}
		}
		previous = stepRuns
	}
}

// stepDoneBefore reports whether a step of n tasks was done before a time. A run
// that is done completes a gang step as a whole.
func (j *soakJob) stepDoneBefore(list []soakRun, n int, at time.Time) bool {
	done := make(map[string]bool)
	for _, r := range list {
		if r.Outcome == "done" && r.EndedAt.Before(at) {
			done[r.Task] = true
		}
	}
	return len(done) == n || j.gang && len(done) > 0
}
