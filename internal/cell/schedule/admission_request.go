package schedule

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
)

// AdmissionRequest returns what decides whether a submission that arrives now is refused; false
// if it is never refused, as one to a queue of priority 0, with due times or a long-running step.
func AdmissionRequest(sub *cell.Submission, q cell.Queue) (r admission.Request, ok bool) {
	if sub.Timed() || q.Priority == 0 {
		return r, false
	}
	j := &job{sub: sub, queue: q, steps: len(sub.Steps)}
	for i := range sub.Steps {
		step := &sub.Steps[i]
		if step.LongRunning || step.BestEffort {
			return r, false
		}
		r.Work = max(r.Work, j.criticalPath(i))
		if len(step.After) > 0 {
			continue
		}
		one, all := amountsOf(step.Size, 1), amountsOf(step.Size, float64(step.Count))
		for k := range one {
			r.Largest[k] = max(r.Largest[k], one[k])
			r.Demand[k] += all[k]
		}
		if step.Label != "" && !slices.Contains(r.Labels, step.Label) {
			r.Labels = append(r.Labels, step.Label)
		}
	}
	objective := j.objective()
	r.ID, r.Team, r.Queue, r.Service = sub.ID, sub.Team, q.Name, q.Service
	r.Latest, r.Laxity = cell.ScaleDuration(objective, tooLateFactor), objective-r.Work
	return r, true
}
