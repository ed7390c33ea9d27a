package worker

import (
	"fmt"
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// edge is the start or the end of an execution.
type edge struct {
	at    time.Duration
	start bool
	index int
}

// CheckHosts returns one line for each time a host ran more than it can hold.
func CheckHosts(executions []Execution) []string {
	var faults []string
	used := map[string]resource.Vector{}
	for _, e := range edges(executions) {
		x := executions[e.index]
		if !e.start {
			used[x.Host] = used[x.Host].Sub(x.Size)
			continue
		}
		used[x.Host] = used[x.Host].Add(x.Size)
		if !used[x.Host].Fits(x.Capacity) {
			faults = append(faults, fmt.Sprintf("host %s runs %s of %s when %s starts", x.Host, used[x.Host], x.Capacity, x.Attempt))
		}
	}
	return faults
}

// CheckOnePlace returns one line for each task that ran in two places at once.
func CheckOnePlace(executions []Execution) []string {
	var faults []string
	running := map[work.TaskID]int{}
	for _, e := range edges(executions) {
		x := executions[e.index]
		if !e.start {
			if running[x.Attempt.Task] == e.index+1 {
				delete(running, x.Attempt.Task)
			}
			continue
		}
		if other := running[x.Attempt.Task]; other != 0 {
			faults = append(faults, fmt.Sprintf("%s starts on %s while %s runs on %s",
				x.Attempt, x.Host, executions[other-1].Attempt, executions[other-1].Host))
		}
		running[x.Attempt.Task] = e.index + 1
	}
	return faults
}

// CheckAtMostOnce returns one line for each task of a non-idempotent job that
// was started more than once.
func CheckAtMostOnce(executions []Execution, idempotent func(work.JobID) bool) []string {
	var faults []string
	started := map[work.TaskID]int{}
	for _, x := range executions {
		if idempotent(x.Attempt.Task.Job) {
			continue
		}
		if started[x.Attempt.Task]++; started[x.Attempt.Task] == 2 {
			faults = append(faults, fmt.Sprintf("non-idempotent task %s was started twice", x.Attempt.Task))
		}
	}
	return faults
}

// CheckTokens returns one line for each start in a shard under a token that is
// lower than that of an earlier start there. shard gives the shard of a host.
func CheckTokens(executions []Execution, shard func(host string) string) []string {
	var faults []string
	highest := map[string]uint64{}
	for _, e := range edges(executions) {
		x := executions[e.index]
		if !e.start {
			continue
		}
		name := shard(x.Host)
		if x.Token < highest[name] {
			faults = append(faults, fmt.Sprintf("%s starts on %s under token %d after a start in %s under %d",
				x.Attempt, x.Host, x.Token, name, highest[name]))
		}
		highest[name] = max(highest[name], x.Token)
	}
	return faults
}

// PeakUse returns the largest sum of cost over the tasks of each group that
// ran at the same time. Executions without a group are left out.
func PeakUse(executions []Execution, group func(work.JobID) string, cost func(resource.Vector, string) int64) map[string]int64 {
	used, peak := map[string]int64{}, map[string]int64{}
	for _, e := range edges(executions) {
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

// edges returns the starts and ends in time order; an end comes before a
// start at the same time.
func edges(executions []Execution) []edge {
	out := make([]edge, 0, 2*len(executions))
	for i, x := range executions {
		out = append(out, edge{at: x.Start, start: true, index: i})
		if x.Ended {
			out = append(out, edge{at: x.End, index: i})
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
