package measure

import (
	"slices"
	"strings"
	"time"

	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// waitingTimes compares the submissions with the first start of each task in
// the workers' own journal.
func waitingTimes(jobs map[work.JobID]*submitted, executions []standin.Execution) []Waiting {
	type key struct{ class, team string }
	first := map[work.TaskID]bool{}
	times := map[key][]time.Duration{}
	planned := map[key]int{}
	for _, j := range jobs {
		if j.accepted {
			planned[key{j.spec.Class.String(), j.spec.Team}] += int(j.spec.Tasks)
		}
	}
	for _, e := range executions {
		j := jobs[e.Attempt.Task.Job]
		if j == nil || first[e.Attempt.Task] {
			continue
		}
		first[e.Attempt.Task] = true
		k := key{j.spec.Class.String(), j.spec.Team}
		times[k] = append(times[k], e.Start-j.at)
	}
	var out []Waiting
	for k, n := range planned {
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

// quantile returns a quantile in milliseconds, and zero without values.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := min(int(q*float64(len(times))), len(times)-1)
	return float64(times[i].Microseconds()) / 1000
}
