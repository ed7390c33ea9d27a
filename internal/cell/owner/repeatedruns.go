package owner

import (
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// newRepetitionCounters returns the counters of tasks that have, or had, more runs than they may.
func newRepetitionCounters(s tally.Scope) (out [schedule.RepetitionKinds]tally.Counter) {
	for kind := range schedule.RepetitionKinds {
		out[kind] = s.Tagged(map[string]string{"kind": kind.String()}).Counter("runs_repeated")
	}
	return out
}

func (ow *Owner) logMessages(list []schedule.LogMessage) {
	for _, m := range list {
		ow.logMessage(m)
	}
}

// logMessage writes a message of the scheduler to the log.
func (ow *Owner) logMessage(m schedule.LogMessage) {
	if m.Repeated == nil {
		ow.options.Log.Info(m.Text, "id", m.Submission, "host", m.Host)
		return
	}
	ow.metrics.repeated[m.Repeated.Kind].Inc(1)
	ow.options.Log.Warn(m.Text, repeatedRunAttributes(m.Repeated)...)
}

// repeatedRunAttributes returns the attributes of the line about a repeated run.
func repeatedRunAttributes(r *schedule.RepeatedRun) []any {
	list := append([]any{"id", r.Task.Submission, "task", r.Task.String()}, runAttributes("", r.Run)...)
	if r.Other.Run != 0 {
		list = append(list, runAttributes("other_", r.Other)...)
	}
	if r.JobKnown {
		list = append(list, "before_claim", r.BeforeClaim)
	}
	return list
}

func runAttributes(prefix string, f schedule.RunFacts) []any {
	list := []any{prefix + "run", f.Run, prefix + "host", f.Host, prefix + "answers", f.HostAnswers, prefix + "state", f.State, prefix + "earlier_owner", f.Earlier, prefix + "token", tokenOfRun(f.Run)}
	if f.Gone != schedule.NotGone {
		list = append(list, prefix+"gone", f.Gone.String(), prefix+"gone_for", f.GoneAgo)
	}
	return list
}

// tokenOfRun returns the fencing token of the owner that ordered a run.
func tokenOfRun(run int64) int64 { return (run-1)/runNumbersPerOwner + 1 }
