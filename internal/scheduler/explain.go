package scheduler

import (
	"fmt"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Explain returns sentences for operators on why tasks of a job wait at clock
// value now, with the numbers behind it in units of the limit and in resources.
func (s *Scheduler) Explain(id work.JobID, now time.Duration) []string {
	j := s.jobs[id]
	if j == nil {
		return []string{fmt.Sprintf("Job %q has no open task in this shard.", id)}
	}
	out := []string{fmt.Sprintf("Job %q was accepted %s ago; %d tasks wait, %d run or may run, %d have no outcome.",
		id, (now - j.accepted).Round(time.Millisecond), j.waiting, j.live, j.pending)}
	if j.closed {
		return append(out, "The job is being ended: "+j.closeReason+".")
	}
	if reason := s.infeasible(j); reason != "" {
		out = append(out, "It cannot run here: "+reason+".")
	}
	out = append(out, s.explainBlockers(j)...)
	out = append(out, s.explainLimit(j)...)
	if j.waiting > 0 {
		out = append(out, s.explainShare(j), s.explainRoom(j))
	}
	return out
}

func (s *Scheduler) explainBlockers(j *job) (out []string) {
	if s.paused.All {
		out = append(out, "All starts are paused.")
	} else if s.paused.NonIdempotent && !j.spec.Idempotent {
		out = append(out, "Starts of non-idempotent tasks are paused, because the log cannot record the intent to start them.")
	}
	if j.mayHaveUnadoptedAttempts {
		out = append(out, fmt.Sprintf("Earlier attempts may run on %d hosts that have not reported their tasks yet.", s.unknownHosts))
	}
	delayed, held := 0, 0
	j.forEachTask(func(_ int32, t *task) {
		if t.state == TaskQueued && t.delayed {
			delayed++
		}
		if t.state == TaskHeld {
			held++
		}
	})
	if delayed > 0 {
		out = append(out, fmt.Sprintf("%d tasks wait for the delay before a retry; the team's retry budget is %d.%02d retries.",
			delayed, j.team.retryBudget/100, j.team.retryBudget%100))
	}
	if j.backoff.JobAtFault() {
		out = append(out, fmt.Sprintf("The job failed on at least %d hosts, so its retries back off.", 3))
	}
	if held > 0 {
		out = append(out, fmt.Sprintf("%d non-idempotent tasks may have been started before, so they are not started again.", held))
	}
	if j.spanning && j.waiting > 0 {
		out = append(out, fmt.Sprintf("The gang has parts in other shards; this part of %d tasks starts once room is held for every part.", j.pending))
	}
	if j.spec.Kind == work.Gang && j.waiting > 0 && j.waiting != j.pending {
		out = append(out, fmt.Sprintf("The gang starts when all of its %d tasks are ready; %d are.", j.pending, j.waiting))
	}
	return out
}

func (s *Scheduler) explainLimit(j *job) []string {
	l := j.team.limit
	if l == nil {
		return []string{fmt.Sprintf("Team %q has no limit in the contract, so none of its tasks start.", j.team.name)}
	}
	out := []string{fmt.Sprintf("Limit %q allots this shard %d %s (%s each) of %d in the fleet; %d are used and one task takes %d.",
		l.spec.Name, l.allotted, l.spec.UnitName, l.spec.Unit, l.spec.Units, l.used, j.cost)}
	if j.group != nil && j.waiting > 0 && j.group.cost > l.room() {
		out = append(out, fmt.Sprintf("A start needs %d %s and %d are free, so it waits for the limit.",
			j.group.cost, l.spec.UnitName, max(l.room(), 0)))
	}
	if l.keptFor != nil && l.keptFor != j {
		out = append(out, fmt.Sprintf("The free units are kept for job %q, which has waited longer than %s.",
			l.keptFor.spec.ID, s.contract.Policy.MaxWait))
	}
	return out
}

func (s *Scheduler) explainShare(j *job) string {
	s.computeEntitledShares()
	return fmt.Sprintf("Team %q has %s of the dominant resource and is entitled to %s at weight %d.",
		j.team.name, percent(j.team.share), percent(j.team.entitled), j.team.weight)
}

func percent(ppm int64) string {
	n := ppm * 10000 / fairshare.FullShare
	return fmt.Sprintf("%d.%02d %%", n/100, n%100)
}

func (s *Scheduler) explainRoom(j *job) string {
	fits, ready := 0, 0
	var best resource.Vector
	for _, h := range s.hostList {
		if h == nil || !s.acceptsTasks(h, s.now) {
			continue
		}
		ready++
		best = larger(best, h.view.Free)
		if j.spec.Size.Fits(h.view.Free) {
			fits++
		}
	}
	text := fmt.Sprintf("One task needs %s; %d of %d ready hosts have room, the largest has %s free", j.spec.Size, fits, ready, best)
	if j.reservation != nil {
		text += fmt.Sprintf(", and room on %d hosts is reserved for it", len(j.reservation.placements))
	}
	return text + "."
}
