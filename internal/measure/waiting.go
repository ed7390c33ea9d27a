package measure

import (
	"slices"
	"strings"
	"time"

	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// waitingTimes returns the waiting times by class and team: from the submission of
// a job to the first start of each of its tasks in the workers' journal.
func waitingTimes(jobs map[work.JobID]*submittedJob, executions []standin.Execution) []Waiting {
	type key struct{ class, team string }
	started := map[work.TaskID]bool{}
	times := map[key][]time.Duration{}
	submitted := map[key]int{}
	for _, j := range jobs {
		if j.accepted {
			submitted[key{j.spec.Class.String(), j.spec.Team}] += int(j.spec.Tasks)
		}
	}
	for _, e := range executions {
		j := jobs[e.Attempt.Task.Job]
		if j == nil || started[e.Attempt.Task] {
			continue
		}
		started[e.Attempt.Task] = true
		k := key{j.spec.Class.String(), j.spec.Team}
		times[k] = append(times[k], e.Start-j.at)
	}
	var out []Waiting
	for k, n := range submitted {
		t := times[k]
		out = append(out, Waiting{
			Class: k.class, Team: k.team, Started: len(t), Waiting: n - len(t),
			P50: quantile(t, 0.5), P99: quantile(t, 0.99), P999: quantile(t, 0.999),
		})
	}
	slices.SortFunc(out, func(a, b Waiting) int {
		return strings.Compare(a.Class+" "+a.Team, b.Class+" "+b.Team)
	})
	return out
}

// quantile returns the quantile q of times in milliseconds, or zero if there are
// no times. It sorts times.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := min(int(q*float64(len(times))), len(times)-1)
	return float64(times[i].Microseconds()) / 1000
}
