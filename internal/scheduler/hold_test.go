package scheduler

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// spanningPart returns a scheduler with one host of 4 cores and the part of a
// spanning gang, two tasks of 2 cores, at clock value 0.
func spanningPart() *Scheduler {
	s := New(Options{})
	size := resource.Vector{MilliCPU: 4000, MemoryMiB: 4096}
	s.Apply(0, ContractChanged{Contract{
		Teams: map[string]Team{"team": {Name: "team", Limit: "limit"}}, Queues: map[string]Queue{"queue": {Name: "queue"}},
		Limits: map[string]Limit{"limit": {Name: "limit", Units: 100, Unit: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}}},
	}})
	s.Apply(0, AllotmentsChanged{map[string]int64{"limit": 4}})
	s.Apply(0, HostChanged{Host{ID: "host", Capacity: size, State: HostReady}})
	s.Apply(0, HostAdopted{Host: "host"})
	job := work.Job{ID: "gang", Team: "team", Queue: "queue", Kind: work.Gang, Tasks: 4, Idempotent: true,
		Size: resource.Vector{MilliCPU: 2000, MemoryMiB: 1024}, Lease: time.Minute}
	s.Apply(0, JobAdded{Job: job, Count: 2, Spanning: true, Offset: 1})
	return s
}

// starts returns how many tasks Decide starts.
func starts(s *Scheduler, now time.Duration) (n int) {
	for _, a := range s.Decide(now) {
		if _, ok := a.(StartTask); ok {
			n++
		}
	}
	return n
}

// Guards against a part of a spanning gang that starts without a confirmed
// hold, or by a confirmation that arrives after the hold expired.
func TestPartStartsOnlyByAValidHold(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed string
		at        time.Duration
		want      int
	}{
		{"no confirmation", "", 0, 0},
		{"confirmed in time", "1", time.Second - 1, 2},
		{"confirmed at the end of the hold", "1", time.Second, 0},
		{"confirmation of another hold", "0", 0, 0},
	} {
		s := spanningPart()
		s.Apply(0, HoldRequested{Hold: "1", Job: "gang", Until: time.Second})
		if !s.HoldGranted("gang", "1") {
			t.Fatalf("%s: hold was not granted", c.name)
		}
		if c.confirmed != "" {
			s.Apply(c.at, HoldConfirmed{Hold: c.confirmed, Job: "gang"})
		}
		if got := starts(s, c.at); got != c.want {
			t.Errorf("%s: %d starts, want %d", c.name, got, c.want)
		}
	}
}

// Guards against other tasks starting in the capacity of a hold, and against
// capacity that stays held after the hold has ended.
func TestHoldCountsAsUsedUntilItsEnd(t *testing.T) {
	for _, release := range []Event{nil, HoldReleased{Hold: "1", Job: "gang"}, JobCancelled{"gang"}, HostGone{"host"}, AllotmentsChanged{}} {
		s := spanningPart()
		s.Apply(0, HoldRequested{Hold: "1", Job: "gang", Until: time.Second})
		other := work.Job{ID: "small", Team: "team", Queue: "queue", Tasks: 2, Idempotent: true,
			Size: resource.Vector{MilliCPU: 2000, MemoryMiB: 1024}, Lease: time.Minute}
		s.Apply(0, JobAdded{Job: other, Count: 2})
		if got := starts(s, 0); got != 0 {
			t.Fatalf("%d tasks start in the room of a hold", got)
		}
		if use := s.Summary().Limits["limit"].Used; use != 4 {
			t.Fatalf("%d units count as used, want 4", use)
		}
		at := time.Second
		if release != nil {
			at = 0
			s.Apply(0, release)
		}
		got := starts(s, at)
		switch release.(type) {
		case HostGone, AllotmentsChanged:
			s.Apply(0, HoldConfirmed{Hold: "1", Job: "gang"})
			got = 2 + starts(s, 0)
		}
		if got != 2 {
			t.Errorf("after %T %d tasks start, want 2", release, got)
		}
	}
}

// Guards against a delayed request of an earlier try that replaces a newer hold
// or is granted after its release.
func TestLateHoldIsRefused(t *testing.T) {
	s := spanningPart()
	s.Apply(0, HoldRequested{Hold: "2", Job: "gang", Until: time.Second})
	s.Apply(0, HoldRequested{Hold: "1", Job: "gang", Until: time.Second})
	if s.HoldGranted("gang", "1") || !s.HoldGranted("gang", "2") {
		t.Error("an earlier hold replaced a newer one")
	}
	s.Apply(0, HoldReleased{Hold: "3", Job: "gang"})
	s.Apply(0, HoldRequested{Hold: "3", Job: "gang", Until: time.Second})
	if s.HoldGranted("gang", "3") {
		t.Error("a hold was granted after its release")
	}
}

// Guards against a part that keeps running although its coordinator is lost,
// and against one that is stopped although its coordinator reports.
func TestPartStopsWithoutCoordinatorReport(t *testing.T) {
	s := spanningPart()
	s.Apply(0, HoldRequested{Hold: "1", Job: "gang", Until: time.Second})
	s.Apply(0, HoldConfirmed{Hold: "1", Job: "gang"})
	s.Decide(0)
	stops := func(now time.Duration) (n int) {
		for _, a := range s.Decide(now) {
			if _, ok := a.(StopTask); ok {
				n++
			}
		}
		return n
	}
	s.Apply(defaultGangRunningTimeout-1, GangRunning{Job: "gang"})
	if n := stops(defaultGangRunningTimeout); n != 0 {
		t.Fatalf("%d stops at %s", n, defaultGangRunningTimeout)
	}
	if n := stops(2*defaultGangRunningTimeout - 1); n != 2 {
		t.Fatalf("%d stops after the coordinator was silent, want 2", n)
	}
}
