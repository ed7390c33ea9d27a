package schedule

import (
	"fmt"
	"slices"
	"time"
)

// replayResult is what the submissions of one kind got in one or more replays.
type replayResult struct {
	jobs, jobsInTime   int
	waits, whole       []time.Duration // to the first start, and to that of the last task
	inTime, ofUse, all float64         // core-seconds that ended within the objective, three times it, offered
}

// quantile returns a quantile of waits.
func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(int(q*float64(len(waits))), len(waits)-1)]
}

// add counts a submission. One that has not started has waited since it arrived.
func (r *replayResult) add(j *replayJob, now time.Duration) {
	wait, whole := now-j.arrives, now-j.arrives
	if j.started {
		wait, whole = j.wait, j.whole
	}
	w := j.coreSeconds()
	r.jobs, r.waits, r.all = r.jobs+1, append(r.waits, wait), r.all+w
	r.whole = append(r.whole, whole)
	if j.within(1) {
		r.jobsInTime++
		r.inTime += w
	}
	if j.within(tooLateFactor) {
		r.ofUse += w
	}
}

// merge adds the result of another replay.
func (r *replayResult) merge(o *replayResult) {
	r.jobsInTime += o.jobsInTime
	r.jobs, r.waits = r.jobs+o.jobs, append(r.waits, o.waits...)
	r.whole = append(r.whole, o.whole...)
	r.inTime, r.ofUse, r.all = r.inTime+o.inTime, r.ofUse+o.ofUse, r.all+o.all
}

// String returns the result as a row of a table.
func (r *replayResult) String() string {
	return fmt.Sprintf("%5d jobs, first start after %5.2f, %5.2f s (median, p90), last after %5.2f, %5.2f s, in time %.3f, of use %.3f of core-seconds, in time %.3f of jobs",
		r.jobs, quantile(r.waits, 0.5).Seconds(), quantile(r.waits, 0.9).Seconds(), quantile(r.whole, 0.5).Seconds(), quantile(r.whole, 0.9).Seconds(), r.inTime/max(r.all, 1), r.ofUse/max(r.all, 1),
		float64(r.jobsInTime)/float64(max(r.jobs, 1)))
}

// results returns the result of each kind by the name of its queue, and of all under "all".
// What arrives in the first seconds, while the cell fills, is left out.
func (p *replay) results(from time.Duration) map[string]*replayResult {
	out := map[string]*replayResult{"all": {}}
	for _, j := range p.arrive {
		if j.arrives < p.started+from {
			continue
		}
		r := out[j.kind.queue.Name]
		if r == nil {
			r = &replayResult{}
			out[j.kind.queue.Name] = r
		}
		r.add(j, p.now)
		out["all"].add(j, p.now)
	}
	return out
}
