package router

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
	"pgregory.net/rapid"
)

const far = time.Hour

// Guards against a team that floods taking slots beyond its weight.
func TestWeightedFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := int64(rapid.IntRange(1, 5).Draw(t, "weight"))
		a := NewAdmission(DefaultOptions())
		a.service = 10 * time.Millisecond
		used := map[string]int{}
		id := uint64(0)
		for range 600 {
			for _, tk := range []Ticket{{Team: "flood", Weight: 1}, {Team: "flood", Weight: 1}, {Team: "other", Weight: weight}} {
				id++
				tk.ID, tk.Deadline = id, far
				a.Offer(0, tk)
			}
			next, ok := a.Next(0, 1)
			if !ok {
				t.Fatal("nothing to serve")
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

// Guards against queues without bound, classes out of order, a team above its
// limit and requests accepted that can't end in time.
func TestAdmissionRules(t *testing.T) {
	o := DefaultOptions()
	o.QueuePerTeam = 3
	a := NewAdmission(o)
	offer := func(id uint64, team string, c work.Class, deadline time.Duration) *Refusal {
		return a.Offer(0, Ticket{ID: id, Team: team, Class: c, Deadline: deadline, Limit: 1})
	}
	offer(1, "a", work.Background, far)
	offer(2, "a", work.Normal, far)
	offer(3, "a", work.Urgent, far)
	if r := offer(4, "a", work.Urgent, far); r == nil || r.Code != CodeQueueFull {
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
	if r := offer(5, "b", work.Normal, 500*time.Millisecond); r == nil || r.Code != CodeDeadline || r.RetryAfter <= 0 {
		t.Fatalf("got %v, want %s with a time", r, CodeDeadline)
	}
	offer(6, "b", work.Normal, 5*time.Second)
	if _, ok := a.Next(4500*time.Millisecond, 1); ok || len(a.TakeShed()) != 1 {
		t.Fatal("a request that can't end in time was not shed")
	}
}

// Guards against a flood that takes the slots another team has just used, and
// against keeping them for a team that is gone.
func TestHeadroomForOtherTeams(t *testing.T) {
	a := NewAdmission(DefaultOptions())
	a.SetCapacity(8)
	id := uint64(0)
	offer := func(team string, n int) {
		for range n {
			id++
			a.Offer(0, Ticket{ID: id, Team: team, Weight: 1, Deadline: far})
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
		t.Fatalf("the flood got %d of 8 slots, want 6 beside the 2 of the calm team", n)
	}
	offer("calm", 2)
	if got := take(0, 2); len(got) != 2 || got[0].Team != "calm" {
		t.Fatalf("got %v, want the calm team's 2", got)
	}
	for _, c := range []Ticket{{Team: "calm"}, {Team: "calm"}} {
		a.Done(c, 0, false)
	}
	for now := range 5 {
		take(time.Duration(now)*time.Second, 0)
		a.decay(time.Duration(now) * time.Second)
	}
	if n := len(take(5*time.Second, 2)); n != 2 {
		t.Fatalf("the flood got %d of 2 slots that nobody uses", n)
	}
}

// Guards against retries that multiply an overload.
func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.Request()
		for b.Take() {
			retries++
		}
	}
	if retries != 100 {
		t.Fatalf("%d retries on 1000 requests, want 100", retries)
	}
}
