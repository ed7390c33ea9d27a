package worker

import (
	"fmt"
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// boundary is the start or the end of an execution.
type boundary struct {
	at    time.Duration
	start bool
	index int
}

// CheckHosts returns one line for each start of a task that exceeds the capacity of
// its host.
func CheckHosts(executions []Execution) []string {
	var violations []string
	used := map[string]resource.Vector{}
	for _, e := range boundaries(executions) {
		x := executions[e.index]
		if !e.start {
			used[x.Host] = used[x.Host].Sub(x.Size)
			continue
		}
		used[x.Host] = used[x.Host].Add(x.Size)
		if !used[x.Host].Fits(x.Capacity) {
			violations = append(violations, fmt.Sprintf("host %s runs %s of %s when %s starts", x.Host, used[x.Host], x.Capacity, x.Attempt))
		}
	}
	return violations
}

// CheckNoConcurrentAttempts returns one line for each start of a task while
// another attempt of the same task is running.
func CheckNoConcurrentAttempts(executions []Execution) []string {
	var violations []string
	running := map[work.TaskID]int{}
	for _, e := range boundaries(executions) {
		x := executions[e.index]
		if !e.start {
			if running[x.Attempt.Task] == e.index+1 {
				delete(running, x.Attempt.Task)
			}
			continue
		}
		if other := running[x.Attempt.Task]; other != 0 {
			violations = append(violations, fmt.Sprintf("%s starts on %s while %s runs on %s",
				x.Attempt, x.Host, executions[other-1].Attempt, executions[other-1].Host))
		}
		running[x.Attempt.Task] = e.index + 1
	}
	return violations
}

// CheckAtMostOnce returns one line for each task of a non-idempotent job that
// was started more than once.
func CheckAtMostOnce(executions []Execution, idempotent func(work.JobID) bool) []string {
	var violations []string
	started := map[work.TaskID]int{}
	for _, x := range executions {
		if idempotent(x.Attempt.Task.Job) {
			continue
		}
		if started[x.Attempt.Task]++; started[x.Attempt.Task] == 2 {
			violations = append(violations, fmt.Sprintf("non-idempotent task %s was started twice", x.Attempt.Task))
		}
	}
	return violations
}

// CheckTokens returns one line for each start in a shard under a lower fencing
// token than an earlier start in that shard. shard returns the shard of a host.
func CheckTokens(executions []Execution, shard func(host string) string) []string {
	var violations []string
	highestTokens := map[string]uint64{}
	for _, e := range boundaries(executions) {
		x := executions[e.index]
		if !e.start {
			continue
		}
		name := shard(x.Host)
		if x.Token < highestTokens[name] {
			violations = append(violations, fmt.Sprintf("%s starts on %s under token %d after a start in %s under %d",
				x.Attempt, x.Host, x.Token, name, highestTokens[name]))
		}
		highestTokens[name] = max(highestTokens[name], x.Token)
	}
	return violations
}

// PeakUse returns, for each group, the maximum total cost of its tasks that ran at
// the same time. Executions whose group is empty are not counted.
func PeakUse(executions []Execution, group func(work.JobID) string, cost func(resource.Vector, string) int64) map[string]int64 {
	used, peak := map[string]int64{}, map[string]int64{}
	for _, e := range boundaries(executions) {
		x := executions[e.index]
		name := group(x.Attempt.Task.Job)
		if name == "" {
			continue
		}
		units := cost(x.Size, name)
		if !e.start {
			units = -units
		}
		used[name] += units
		peak[name] = max(peak[name], used[name])
	}
	return peak
}

// boundaries returns the starts and ends in time order; an end comes before a start
// at the same time.
func boundaries(executions []Execution) []boundary {
	out := make([]boundary, 0, 2*len(executions))
	for i, x := range executions {
		out = append(out, boundary{at: x.Start, start: true, index: i})
		if x.Ended {
			out = append(out, boundary{at: x.End, index: i})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].at != out[b].at {
			return out[a].at < out[b].at
		}
		return !out[a].start && out[b].start
	})
	return out
}
