package scheduler

import "time"

// agedJob is a job that waits for a reservation; since is its last progress.
type agedJob struct {
	since time.Duration
	job   *job
}

// agedHeap orders aged jobs by their waiting time, the longest first. An entry
// is stale once its job has made progress.
type agedHeap []agedJob

func (h agedHeap) Len() int { return len(h) }
func (h agedHeap) Less(a, b int) bool {
	if h[a].since != h[b].since {
		return h[a].since < h[b].since
	}
	return h[a].job.spec.ID < h[b].job.spec.ID
}
func (h agedHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *agedHeap) Push(x any) { *h = append(*h, x.(agedJob)) }

// Pop implements heap.Interface.
func (h *agedHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = agedJob{}
	*h = old[:len(old)-1]
	return x
}

// stale reports whether the job of the entry no longer waits since that time.
func (a agedJob) stale() bool { return !a.job.aged || a.job.closed || a.since != a.job.lastProgress }
