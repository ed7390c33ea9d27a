package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// overloaded is a summary with a backlog of some time under the limit of team a.
func overloaded(ms int64) *Summary {
	return &Summary{Token: 3, Backlogs: []Backlog{{Team: "a", Queue: "q", Bounds: []int64{500}, Cores: []int64{ms}}}, Teams: []Room{{Name: "a", Free: Amounts{0, -1}}}}
}

// overloadedCell is a summary with a backlog of a minute on the hosts of service s.
func overloadedCell() *Summary {
	return &Summary{Token: 3, Backlogs: []Backlog{{Queue: "q", Bounds: []int64{500}, Cores: []int64{60_000}}}, Services: []Room{{Name: "s", OnHost: &Amounts{}}}}
}

func request(id string) Request {
	return Request{ID: id, Team: "a", Queue: "q", Service: "s", Work: time.Second, Latest: 5 * time.Second, Laxity: time.Second, Demand: Amounts{1000, 64}, Largest: Amounts{1000, 64}}
}

// Guards against refusals without a recent reason: no summary, an old one, one whose age is not
// known, or no backlog of the team and queue.
func TestGateAcceptsWithoutRecentSummary(t *testing.T) {
	for _, c := range []struct {
		name    string
		s       *Summary
		age     time.Duration
		team    string
		refused bool
	}{
		{"a recent summary", overloaded(60_000), time.Second, "a", true},
		{"no summary", nil, 0, "a", false},
		{"an old summary", overloaded(60_000), MaxSummaryAge, "a", false},
		{"a summary of unknown age", overloaded(60_000), -1, "a", false},
		{"another team", overloaded(60_000), 0, "c", false},
		{"a short backlog", overloaded(3000), 0, "a", false},
		{"a backlog of the cell", overloadedCell(), 0, "b", true},
	} {
		var g Gate
		q := request("x")
		q.Team = c.team
		r := g.Decide(q, c.s, c.age, time.Hour)
		if (r != nil) != c.refused {
			t.Errorf("%s: refusal %+v", c.name, r)
		}
		if r != nil && (r.Own != (c.team == "a") || r.RetryAfterSeconds < 1) {
			t.Errorf("%s: refusal %+v", c.name, r)
		}
	}
}

// Guards against a backlog that counts for the whole age of a summary, although it may have
// been served meanwhile.
func TestGateCountsAgeAsServed(t *testing.T) {
	var g Gate
	s := overloaded(12_000)
	if g.Decide(request("x"), s, 0, time.Hour) == nil {
		t.Error("a wait of 12 s and a second of work are accepted, at most 12.5 s are")
	}
	if r := g.Decide(request("x"), s, time.Second, time.Hour); r != nil {
		t.Errorf("a second later the refusal is %+v", r)
	}
}

// Guards against callers that return after a refusal and come after newcomers again, and
// against a memory of them that grows without bound.
func TestReturningCallersComeFirst(t *testing.T) {
	var g Gate
	s := overloaded(13_000)
	g.Refused("again", time.Hour)
	if g.Decide(request("new"), s, 0, time.Hour) == nil {
		t.Error("a newcomer is accepted")
	}
	if r := g.Decide(request("again"), s, 0, time.Hour); r != nil {
		t.Errorf("a returning caller is refused: %+v", r)
	}
	if !g.Accepted("again") || g.Accepted("again") {
		t.Error("an accepted submission is not forgotten")
	}
	for i := range 3 * maxRefusedIDs {
		g.Refused(fmt.Sprint(i), time.Hour)
	}
	if n := g.Remembered(); n > maxRefusedIDs {
		t.Errorf("%d refused submissions are remembered", n)
	}
	g.Refused("late", time.Hour+2*refusedIDAge)
	if n := g.Remembered(); n != 1 {
		t.Errorf("%d refused submissions are remembered after their time", n)
	}
}

// Guards against callers that all return at the same time, and against a Retry-After that is
// missing or far away.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[int]bool{}
	for i := range 200 {
		n := retryAfter(fmt.Sprintf("%016x", i), 10*time.Second)
		if n < 10 || n > 20 {
			t.Fatalf("Retry-After is %d s for a delay of 10 s", n)
		}
		seen[n] = true
	}
	if len(seen) < 8 {
		t.Errorf("200 callers return in %d different seconds", len(seen))
	}
	if n := retryAfter("x", 0); n < 1 || n > 2 {
		t.Errorf("the least Retry-After is %d s", n)
	}
	if n := retryAfter("x", time.Hour); n > 60 {
		t.Errorf("the greatest Retry-After is %d s", n)
	}
}

// Guards against a summary that is larger than its bound, or that loses the longest waits.
func TestSummaryIsBounded(t *testing.T) {
	s := Summary{Token: 1}
	for i := range 5000 {
		name := fmt.Sprintf("team%d", i)
		s.Backlogs = append(s.Backlogs, Backlog{Team: name, Queue: strings.Repeat("q", 30), Bounds: []int64{1}, Cores: []int64{int64(i)}})
		s.Teams = append(s.Teams, Room{Name: name})
	}
	data := s.Encode()
	got, err := Decode(data)
	if err != nil || len(data) > MaxSummaryBytes || len(got.Backlogs) < 100 || got.Backlogs[0].Longest() != 4999 || len(got.Teams) != len(got.Backlogs) {
		t.Errorf("%d bytes, %d backlogs, %d teams, error %v", len(data), len(got.Backlogs), len(got.Teams), err)
	}
	s = Summary{Token: 1}
	for i := range 5000 {
		s.Services = append(s.Services, Room{Name: fmt.Sprint(i)})
	}
	if got, err := Decode(s.Encode()); err != nil || len(got.Services) != 0 {
		t.Errorf("%d services, error %v", len(got.Services), err)
	}
}

// Guards against bytes that are no summary and cause refusals, or a panic.
func TestDecodeRefusesOddBytes(t *testing.T) {
	for _, data := range []string{"", "null", "{}", "[]", "7", "{", `{"token":0}`, `{"token":-1}`, `{"token":1,"backlogs":[{"team":"a","queue":"q","own":1}]}`,
		`{"token":1,"backlogs":[{"queue":"q"}]}`, `{"token":1,"backlogs":[{"queue":"q","laxity":[1],"cores":[-1]}]}`, `{"token":1,"backlogs":[{"queue":"q","laxity":[1],"cores":[99999999999]}]}`,
		`{"token":1,"backlogs":[{"queue":"q","laxity":[1,2],"cores":[1]}]}`, `{"token":1,"backlogs":[{"queue":"q","laxity":[2,1],"cores":[1,2]}]}`,
		`{"token":1,"backlogs":[{"queue":"q","laxity":[1,2],"memory":[2,1]}]}`, `{"token":1,"backlogs":[{"queue":"q","laxity":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17]}]}`,
		`{"token":1,"teams":[{"name":"a","free":[-2,0],"waiting":[0,0]}]}`, `{"token":1,"teams":[{"name":"a","free":[0,0],"waiting":[-1,0]}]}`,
		`{"token":1,"services":[{"name":"a","free":[0,0],"waiting":[0,0],"on_host":[1e300,0]}]}`, `{"token":1,"other":2}`, `{"token":"x"}`, strings.Repeat(" ", MaxSummaryBytes+1)} {
		if s, err := Decode([]byte(data)); err == nil {
			t.Errorf("%.40q is decoded as %+v", data, s)
		}
	}
}

// Guards against a promise to the caller that the wait does not keep: it is no bound.
func TestRefusalTextPromisesNoLeastWait(t *testing.T) {
	r := Refusal{Wait: time.Minute, RetryAfterSeconds: 1}
	if text := r.Text(request("x")); strings.Contains(text, "at least") {
		t.Error(text)
	}
}
