package acceptance

import "time"

const (
	// minSecondWayDelay is the least time without an answer after which a record is
	// sent another way as well.
	minSecondWayDelay = 700 * time.Millisecond
	// secondWayFactor times the usual time of an answer is the delay at a slow store,
	// where a second append of the same record makes all others wait longer.
	secondWayFactor = 4
	// hopelessFactor is how many times longer than the caller waits a record must be
	// expected to take for it to be refused: the speed of a store changes.
	hopelessFactor = 2
	// maxRetryAfter limits the time after which a refused caller is asked to return.
	maxRetryAfter = 5 * time.Second
)

// SecondWayDelay returns how long an answer is waited for before a record is sent
// another way as well. answerTime is the usual time of an answer.
func SecondWayDelay(answerTime time.Duration) time.Duration {
	return max(minSecondWayDelay, secondWayFactor*answerTime)
}

// AdmitInput is what Admit decides on.
type AdmitInput struct {
	// Queued is the number of records that wait for an append, Batch the most that one
	// append takes.
	Queued, Batch int
	// AnswerTime is the usual time of an append. An append that has no answer yet says
	// nothing: the store may return at any moment.
	AnswerTime time.Duration
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
}

// Admit reports whether a record can still be stored in time. If it cannot, the call
// is refused at once, and retryAfter is when the queue will have been stored.
func Admit(v AdmitInput) (ok bool, retryAfter time.Duration) {
	appends := 1 + v.Queued/max(v.Batch, 1)
	expected := time.Duration(appends) * v.AnswerTime
	if expected <= hopelessFactor*v.Remaining {
		return true, 0
	}
	return false, min(max(expected, time.Second), maxRetryAfter)
}
