package faultmatrix

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/standin/runner"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// seatSize is the size of a seat, the smallest unit of limits in the example
// objects. A bench consists of seatsPerBench seats.
var seatSize = resource.Vector{MilliCPU: 500, MemoryMiB: 2048}

const seatsPerBench = 4

// teamLimits holds the limit, in units, of each team that the matrix submits jobs for.
var teamLimits = map[string]int64{"orders": 160, "patterns": patternsSeats}

// checkExecutions checks I1, I2, I3, I4 and I7 against the executions that the
// workers recorded.
func (tc *testCluster) checkExecutions() (violations []string) {
	executions := tc.cluster.Fleet.Journal().Executions()
	add := func(name string, found []string) {
		for _, f := range found {
			violations = append(violations, name+": "+f)
		}
	}
	tc.mu.Lock()
	jobs := make(map[work.JobID]submittedJob, len(tc.jobs))
	for id, j := range tc.jobs {
		jobs[work.JobID(id)] = *j
	}
	tc.mu.Unlock()
	add("I1", standin.CheckHosts(executions))
	add("I2", standin.CheckNoConcurrentAttempts(executions))
	add("I7", standin.CheckAtMostOnce(executions, func(id work.JobID) bool { return jobs[id].spec.Idempotent }))
	peaks := standin.PeakUse(executions, func(id work.JobID) string { return jobs[id].spec.Team }, limitUnits)
	for team, peak := range peaks {
		if peak > teamLimits[team] {
			violations = append(violations, fmt.Sprintf("I4: team %s used %d units at once, its limit is %d", team, peak, teamLimits[team]))
		}
	}
	for _, x := range executions {
		if _, known := jobs[x.Attempt.Task.Job]; !known {
			violations = append(violations, fmt.Sprintf("I3: %s was executed, but no caller submitted its job with a key", x.Attempt))
		}
	}
	return violations
}

// limitUnits returns how many units of its team's limit a task uses.
func limitUnits(size resource.Vector, team string) int64 {
	unit := seatSize
	if team == "orders" {
		unit = seatSize.Scale(seatsPerBench)
	}
	units, _ := size.UnitsNeeded(unit)
	return units
}

// checkCallers checks I5, I6 and I7 by comparing the responses to callers with
// what the runners and workers executed.
func (tc *testCluster) checkCallers() (violations []string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, r := range tc.requests {
		ran := 0
		for _, u := range tc.cluster.Runners {
			ran += u.Executions(r.id)
		}
		want := runner.Answer(r.id, http.MethodPost, "/work", []byte(r.id))
		switch {
		case !r.idempotent && ran > 1:
			violations = append(violations, fmt.Sprintf("I7: non-idempotent request %s ran %d times", r.id, ran))
		case r.verdict == verdict.DidNotRun && ran > 0:
			violations = append(violations, fmt.Sprintf("I6: request %s ran, but its caller was told that it did not", r.id))
		case r.verdict == verdict.DidRun && ran == 0:
			violations = append(violations, fmt.Sprintf("I5: request %s did not run, but its caller was told that it did", r.id))
		case r.response.Status == http.StatusOK && !bytes.Equal(r.response.Body, want):
			violations = append(violations, fmt.Sprintf("I5: request %s got the response body %q", r.id, r.response.Body))
		}
	}
	executed := map[work.JobID]bool{}
	for _, x := range tc.cluster.Fleet.Journal().Executions() {
		executed[x.Attempt.Task.Job] = true
	}
	for id, j := range tc.jobs {
		if j.verdict == verdict.DidNotRun && executed[work.JobID(id)] {
			violations = append(violations, fmt.Sprintf("I6: job %s ran, but its caller was told that it did not", id))
		}
	}
	return violations
}

// invariantOf returns the invariant at the beginning of the text of a violation.
func invariantOf(violation string) string {
	name, _, _ := strings.Cut(violation, ":")
	return name
}
