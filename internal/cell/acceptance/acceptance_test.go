package acceptance

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against followers that do not agree on the node that appends at a slow
// store, against the owner as that node, and against a detour at a fast store.
func TestFollowersAgreeOnRelay(t *testing.T) {
	followers := []string{"a", "b", "c", "d"}
	chosen := map[string]bool{}
	for _, self := range followers {
		v := RelayInput{Self: self, Owner: "b", Followers: followers, AnswerTime: 300 * time.Millisecond}
		target := RelayTarget(v)
		if target == "" {
			target = self
		}
		chosen[target] = true
		v.AnswerTime = 10 * time.Millisecond
		if got := RelayTarget(v); got != "" {
			t.Errorf("%s relays to %s at a fast store", self, got)
		}
	}
	if len(chosen) != 1 || chosen["b"] {
		t.Errorf("the followers chose %v, want one node other than the owner", chosen)
	}
	if got := RelayTarget(RelayInput{Self: "a", Owner: "a", Followers: []string{"a"}, AnswerTime: time.Second}); got != "" {
		t.Errorf("the only follower relays to %q", got)
	}
}

// Guards against calls that wait although the store cannot meet their deadline, and
// against calls that are refused although it can, or although nothing is known.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name  string
		in    AdmitInput
		ok    bool
		after time.Duration
	}{
		{"fast store", AdmitInput{Queued: 200, Batch: 256, AnswerTime: 4 * time.Millisecond, Remaining: 2 * time.Second}, true, 0},
		{"slow store, short queue", AdmitInput{Queued: 200, Batch: 256, AnswerTime: 400 * time.Millisecond, Remaining: 2 * time.Second}, true, 0},
		{"slow store, long queue", AdmitInput{Queued: 3000, Batch: 256, AnswerTime: 400 * time.Millisecond, Remaining: 2 * time.Second}, false, 4800 * time.Millisecond},
		{"no time left", AdmitInput{Batch: 256, AnswerTime: 400 * time.Millisecond, Remaining: 100 * time.Millisecond}, false, time.Second},
		{"may just suffice", AdmitInput{Queued: 2000, Batch: 256, AnswerTime: 400 * time.Millisecond, Remaining: 2 * time.Second}, true, 0},
		{"very long queue", AdmitInput{Queued: 4000, Batch: 256, AnswerTime: 2 * time.Second, Remaining: 2 * time.Second}, false, maxRetryAfter},
		{"no answer yet", AdmitInput{Queued: 5, Batch: 256, Remaining: 2 * time.Second}, true, 0},
	} {
		ok, after := Admit(c.in)
		if ok != c.ok || after != c.after {
			t.Errorf("%s: %t after %s, want %t after %s", c.name, ok, after, c.ok, c.after)
		}
	}
}

// storeQueue is a partition that serves one append after the other and refuses what
// would wait for too long.
type storeQueue struct {
	appendTime, maxWait time.Duration
	freeAt              time.Duration
}

// append returns when an append that arrives now is done, or false if it is refused.
func (q *storeQueue) append(now time.Duration) (time.Duration, bool) {
	start := max(now, q.freeAt)
	if start-now > q.maxWait {
		return now, false
	}
	q.freeAt = start + q.appendTime
	return q.freeAt, true
}

// Guards against the overload of a slow store by the cell's own appends, as on a day
// when appends took 104 ms and 2,900 of them were refused: 200 submissions a second
// arrive at 8 followers, and the owner stores its progress.
func TestSlowStoreReplay(t *testing.T) {
	const tick = 10 * time.Millisecond
	followers := make([]string, 8)
	for i := range followers {
		followers[i] = fmt.Sprintf("n%d", i)
	}
	q := &storeQueue{appendTime: 104 * time.Millisecond, maxWait: 2 * time.Second}
	queued := map[string][]time.Duration{} // when each waiting record arrived
	busyUntil := map[string]time.Duration{}
	refused, stored, longest := 0, 0, time.Duration(0)
	answer := 300 * time.Millisecond
	for now := time.Duration(0); now < 10*time.Second; now += tick {
		for i := range 2 {
			self := followers[(int(now/tick)*2+i)%len(followers)]
			target := RelayTarget(RelayInput{Self: self, Owner: "n0", Followers: followers, AnswerTime: answer})
			if target == "" {
				target = self
			}
			queued[target] = append(queued[target], now)
		}
		queued["owner's progress"] = append(queued["owner's progress"], now)
		for _, name := range slices.Sorted(maps.Keys(queued)) {
			records := queued[name]
			if now < busyUntil[name] || len(records) == 0 {
				continue
			}
			done, ok := q.append(now)
			if !ok {
				refused++
				busyUntil[name] = now + 60*time.Millisecond
				continue
			}
			answer = done - now + 208*time.Millisecond
			busyUntil[name] = now + answer
			for _, arrived := range records {
				longest = max(longest, now+answer-arrived)
			}
			stored += len(records)
			queued[name] = nil
		}
	}
	if refused > 0 || longest > 1200*time.Millisecond {
		t.Errorf("%d appends refused, the longest wait is %s of %d records", refused, longest, stored)
	}
}
