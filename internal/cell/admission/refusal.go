package admission

import (
	"fmt"
	"hash/fnv"
	"time"
)

// Refusal is why a submission is refused, and when its caller may come back.
type Refusal struct {
	// Own is set if the cause is the backlog or the limit of the team itself.
	Own bool
	// Wait is the expected time that the submission would wait, Late by how much it would end too
	// late then.
	Wait, Late        time.Duration
	RetryAfterSeconds int
}

// Text describes the refusal to the caller.
func (r *Refusal) Text(q Request) string {
	cause := "the cell has no room"
	if r.Own {
		cause = fmt.Sprintf("team %q has too much waiting work for its limit", q.Team)
	}
	return fmt.Sprintf("%s: a submission to queue %q would wait for about %s and then take %s, accepted: an end within %s; come back after %d s",
		cause, q.Queue, r.Wait.Round(time.Millisecond), q.Work.Round(time.Millisecond), q.Latest.Round(time.Millisecond), r.RetryAfterSeconds)
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns in how many seconds a caller may come back: when the submission could end
// in time, spread over as long again by a hash of its ID, so that callers do not return
// together.
func retryAfter(id string, late time.Duration) int {
	base := min(max(late, minRetryAfter), maxRetryAfter)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := time.Duration(float64(base) * float64(h.Sum32()%1024) / 1024)
	return int((base + spread + time.Second - 1) / time.Second)
}
