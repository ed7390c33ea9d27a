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

// seat is the smallest unit of the example; benchSeats make a bench.
var seat = resource.Vector{MilliCPU: 500, MemoryMiB: 2048}

const benchSeats = 4

// limits are the limits of the teams that the matrix submits for.
var limits = map[string]int64{"orders": 160, "patterns": patternsSeats}

// checkExecutions checks I1, I2, I4 and I7 against what the workers recorded.
func (w *world) checkExecutions() (faults []string) {
	executions := w.cluster.Fleet.Journal().Executions()
	add := func(name string, found []string) {
		for _, f := range found {
			faults = append(faults, name+": "+f)
		}
	}
	w.mu.Lock()
	jobs := make(map[work.JobID]toldJob, len(w.jobs))
	for id, j := range w.jobs {
		jobs[work.JobID(id)] = *j
	}
	w.mu.Unlock()
	add("I1", standin.CheckHosts(executions))
	add("I2", standin.CheckOnePlace(executions))
	add("I7", standin.CheckAtMostOnce(executions, func(id work.JobID) bool { return jobs[id].spec.Idempotent }))
	peaks := standin.PeakUse(executions, func(id work.JobID) string { return jobs[id].spec.Team }, cost)
	for team, peak := range peaks {
		if peak > limits[team] {
			faults = append(faults, fmt.Sprintf("I4: %s ran %d units of %d", team, peak, limits[team]))
		}
	}
	for _, x := range executions {
		if _, known := jobs[x.Attempt.Task.Job]; !known {
			faults = append(faults, fmt.Sprintf("I3: %s runs, and nobody submitted it with a key", x.Attempt))
		}
	}
	return faults
}

// cost returns the units of the limit of a team that a task takes.
func cost(size resource.Vector, team string) int64 {
	unit := seat
	if team == "orders" {
		unit = seat.Scale(benchSeats)
	}
	units, _ := size.UnitsNeeded(unit)
	return units
}

// checkCallers checks I5, I6 and I7 against what callers were told.
func (w *world) checkCallers() (faults []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		ran := 0
		for _, u := range w.cluster.Runners {
			ran += u.Executions(r.id)
		}
		want := runner.Answer(r.id, http.MethodPost, "/work", []byte(r.id))
		switch {
		case !r.idempotent && ran > 1:
			faults = append(faults, fmt.Sprintf("I7: non-idempotent %s ran %d times", r.id, ran))
		case r.verdict == verdict.DidNotRun && ran > 0:
			faults = append(faults, fmt.Sprintf("I6: %s ran, its caller was told that it did not", r.id))
		case r.verdict == verdict.DidRun && ran == 0:
			faults = append(faults, fmt.Sprintf("I5: %s did not run, its caller was told that it did", r.id))
		case r.response.Status == http.StatusOK && !bytes.Equal(r.response.Body, want):
			faults = append(faults, fmt.Sprintf("I5: %s was answered %q", r.id, r.response.Body))
		}
	}
	executed := map[work.JobID]bool{}
	for _, x := range w.cluster.Fleet.Journal().Executions() {
		executed[x.Attempt.Task.Job] = true
	}
	for id, j := range w.jobs {
		if j.verdict == verdict.DidNotRun && executed[work.JobID(id)] {
			faults = append(faults, fmt.Sprintf("I6: job %s ran, its caller was told that it did not", id))
		}
	}
	return faults
}

// invariantOf returns the invariant that a fault names.
func invariantOf(fault string) string {
	name, _, _ := strings.Cut(fault, ":")
	return name
}
