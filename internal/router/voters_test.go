package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"pgregory.net/rapid"
)

type modelVoter struct {
	table   *VoterTable
	started time.Duration
	founder bool
}

// Guards against two dispatches of one id within ten minutes, under lost votes,
// delayed reservations, releases and restarted voters.
func TestOneDispatchPerID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "members")
		voters := make([]*modelVoter, n)
		for i := range voters {
			voters[i] = &modelVoter{table: NewVoterTable(100, 1<<20), founder: true}
		}
		now := time.Duration(0)
		var late []func()
		holder, released := "", false
		for i := range 30 {
			now += time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				v := voters[rapid.IntRange(0, n-1).Draw(t, "voter")]
				*v = modelVoter{table: NewVoterTable(100, 1<<20), started: now}
			}
			attempt := fmt.Sprint(i)
			r := NewReservation(n, n, 7)
			for j, v := range voters {
				reserve := func() Vote {
					if !CanVote(now, v.started, v.founder) {
						return Vote{Abstained: true, MembersOffset: 7}
					}
					vote := v.table.Reserve(now, "t", "id", attempt)
					vote.MembersOffset = 7
					return vote
				}
				switch rapid.IntRange(0, 5).Draw(t, "network") {
				case 0:
				case 1:
					late = append(late, func() { reserve() })
				case 2:
					reserve()
				default:
					r.Vote(fmt.Sprint(j), reserve())
				}
			}
			if r.Decide() == Reserved {
				if holder != "" && !released {
					t.Fatalf("attempt %s dispatched after %s", attempt, holder)
				}
				holder, released = attempt, false
			}
			if r.Decide() != Reserved || rapid.Bool().Draw(t, "not run") {
				released = released || holder == attempt
				for _, v := range voters {
					if rapid.IntRange(0, 3).Draw(t, "told") != 0 {
						v.table.Finish(now, "t", "id", attempt, RecordedResult{}, true)
					}
				}
			}
			for _, f := range late {
				f()
			}
			late = nil
		}
	})
}

// Guards against a second dispatch because a delayed reservation is granted after
// its release, a recorded result is lost, or an entry expires ten minutes after
// its first attempt instead of its newest.
func TestVoterMemory(t *testing.T) {
	v := NewVoterTable(2, 1<<20)
	v.Finish(0, "t", "id", "a", RecordedResult{}, true)
	if v.Reserve(0, "t", "id", "a").Granted {
		t.Fatal("a released attempt was granted")
	}
	at := ReservationRetention - time.Second
	if !v.Reserve(at, "t", "id", "b").Granted || v.Reserve(at, "t", "id", "c").Granted {
		t.Fatal("want the id granted to attempt b only")
	}
	if v.Reserve(ReservationRetention+time.Second, "t", "id", "c").Granted {
		t.Fatal("the id expired too early")
	}
	v.Reserve(at, "t", "other", "x")
	if !v.Reserve(at, "t", "third", "x").Abstained {
		t.Fatal("a full table granted an id")
	}
	v.Finish(at, "t", "id", "b", RecordedResult{Verdict: verdict.DidRun, Status: 200, Body: []byte("ok")}, false)
	if got := v.Reserve(at, "t", "id", "d"); !got.Finished || string(got.End.Body) != "ok" {
		t.Fatalf("got %+v, want the recorded result", got)
	}
	if v.Reserve(at+3*ReservationRetention, "t", "third", "x"); v.Len() != 1 || v.bytes != 0 {
		t.Fatalf("%d ids and %d bytes are kept, want 1 and 0", v.Len(), v.bytes)
	}
}

// Guards against a majority computed from the current members only while the
// cluster forms, when two such majorities need not intersect.
func TestMajorityOfConfigured(t *testing.T) {
	r := NewReservation(5, 2, 1)
	r.Vote("a", Vote{Granted: true, MembersOffset: 1})
	r.Vote("a", Vote{Granted: true, MembersOffset: 1})
	r.Vote("b", Vote{Granted: true, MembersOffset: 1})
	if d := r.Decide(); d != NoMajority {
		t.Fatalf("decision %d with 2 of 5 votes", d)
	}
	r = NewReservation(1, 1, 1)
	r.Vote("a", Vote{Granted: true, MembersOffset: 2})
	if d := r.Decide(); d != MembersDiffer {
		t.Fatalf("decision %d with another view of the members", d)
	}
}
