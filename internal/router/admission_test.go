package router

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
	"pgregory.net/rapid"
)

const farDeadline = time.Hour

// Guards against a team that floods the queue and gets more slots than its weight
// allows.
func TestWeightedFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := int64(rapid.IntRange(1, 5).Draw(t, "weight"))
		a := NewAdmission(DefaultOptions())
		a.meanSlotTime = 10 * time.Millisecond
		used := map[string]int{}
		id := uint64(0)
		for range 600 {
			for _, tk := range []Ticket{{Team: "flood", Weight: 1}, {Team: "flood", Weight: 1}, {Team: "other", Weight: weight}} {
				id++
				tk.ID, tk.Deadline = id, farDeadline
				a.Enqueue(0, tk)
			}
			next, ok := a.Next(0, 1)
			if !ok {
				t.Fatal("Next returned no request")
			}
			used[next.Team]++
			a.Done(next, 10*time.Millisecond, true)
		}
		want := 600 * int(weight) / int(weight+1)
		if got := used["other"]; got < want-3 || got > want+3 {
			t.Fatalf("other team got %d of 600, want %d", got, want)
		}
	})
}

// Guards against unbounded queues, classes served out of order, a team above its
// concurrency limit, and the admission of requests that cannot meet their
// deadline.
func TestAdmissionRules(t *testing.T) {
	o := DefaultOptions()
	o.QueuePerTeam = 3
	a := NewAdmission(o)
	offer := func(id uint64, team string, c work.Class, deadline time.Duration) *Refusal {
		return a.Enqueue(0, Ticket{ID: id, Team: team, Class: c, Deadline: deadline, Limit: 1})
	}
	offer(1, "a", work.Background, farDeadline)
	offer(2, "a", work.Normal, farDeadline)
	offer(3, "a", work.Urgent, farDeadline)
	if r := offer(4, "a", work.Urgent, farDeadline); r == nil || r.Code != CodeQueueFull {
		t.Fatalf("got %v, want %s", r, CodeQueueFull)
	}
	for _, want := range []uint64{3, 2, 1} {
		next, ok := a.Next(0, 1)
		if !ok || next.ID != want {
			t.Fatalf("got %d, want %d", next.ID, want)
		}
		if _, ok := a.Next(0, 1); ok {
			t.Fatal("team above its limit of 1")
		}
		a.Done(next, time.Second, true)
	}
	a.SetCapacity(1)
	if r := offer(5, "b", work.Normal, 500*time.Millisecond); r == nil || r.Code != CodeDeadlineUnreachable || r.RetryAfter <= 0 {
		t.Fatalf("got %v, want %s with RetryAfter set", r, CodeDeadlineUnreachable)
	}
	offer(6, "b", work.Normal, 5*time.Second)
	if _, ok := a.Next(4500*time.Millisecond, 1); ok || len(a.TakeDropped()) != 1 {
		t.Fatal("a request that cannot meet its deadline was not dropped")
	}
}

// Guards against a flood that takes the slots that another team has just used,
// and against slots that stay reserved for a team that sends no more requests.
func TestHeadroomForOtherTeams(t *testing.T) {
	a := NewAdmission(DefaultOptions())
	a.SetCapacity(8)
	id := uint64(0)
	offer := func(team string, n int) {
		for range n {
			id++
			a.Enqueue(0, Ticket{ID: id, Team: team, Weight: 1, Deadline: farDeadline})
		}
	}
	take := func(now time.Duration, free int) (taken []Ticket) {
		for ; free > 0; free-- {
			next, ok := a.Next(now, free)
			if !ok {
				break
			}
			taken = append(taken, next)
		}
		return taken
	}
	offer("calm", 2)
	for _, c := range take(0, 8) {
		a.Done(c, 0, false)
	}
	offer("flood", 20)
	if n := len(take(0, 8)); n != 6 {
		t.Fatalf("team flood got %d of 8 slots, want 6 and headroom of 2 for team calm", n)
	}
	offer("calm", 2)
	if got := take(0, 2); len(got) != 2 || got[0].Team != "calm" {
		t.Fatalf("got %v, want 2 requests of team calm", got)
	}
	for _, c := range []Ticket{{Team: "calm"}, {Team: "calm"}} {
		a.Done(c, 0, false)
	}
	for now := range 5 {
		take(time.Duration(now)*time.Second, 0)
		a.decayRecentPeaks(time.Duration(now) * time.Second)
	}
	if n := len(take(5*time.Second, 2)); n != 2 {
		t.Fatalf("team flood got %d of 2 idle slots", n)
	}
}

// Guards against retries without bound, which would amplify an overload.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.CountRequest()
		for b.Take() {
			retries++
		}
	}
	if retries != 100 {
		t.Fatalf("%d retries on 1000 requests, want 100", retries)
	}
}
