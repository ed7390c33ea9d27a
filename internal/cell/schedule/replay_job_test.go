package schedule

import "time"

// replayJob is a submission of a replay and what became of it.
type replayJob struct {
	id      string
	kind    *replayKind
	team    string
	arrives time.Duration
	takes   []time.Duration
	cores   float64 // of all its tasks
	left    int
	started bool
	// wait is the time from its arrival to its first start, whole that to the start of the
	// last of its tasks.
	wait, whole time.Duration
	endedAt     time.Duration
	urgency     time.Duration // its objective
	restarts    int
}

// coreSeconds returns what the submission uses.
func (j *replayJob) coreSeconds() float64 {
	var sum float64
	for _, t := range j.takes {
		sum += t.Seconds()
	}
	return sum * j.cores / float64(len(j.takes))
}

// within reports whether the submission has ended within a number of times its objective.
func (j *replayJob) within(times int) bool {
	return j.left == 0 && j.endedAt <= j.arrives+time.Duration(times)*j.urgency
}
