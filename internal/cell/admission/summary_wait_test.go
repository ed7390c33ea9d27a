package admission

import (
	"testing"
	"time"
)

// Guards against a wait that counts what new work overtakes, what waits for other hosts, or a
// resource that new work does not need, and against the refusal of what fits.
func TestWaitCountsOnlyWhatComesFirst(t *testing.T) {
	full := []Room{{Name: "s", Free: Amounts{4000, 100}, Waiting: Amounts{90_000, 50}, OnHost: &Amounts{2000, 100}}}
	summary := Summary{Services: full, Backlogs: []Backlog{
		{Queue: "q", Bounds: []int64{1000, 2000, 4000}, Cores: []int64{10, 100, 1000}, Memory: []int64{5000, 5000, 5000}},
		{Queue: "q", Label: "x", Bounds: []int64{2000, 4000}, Cores: []int64{7, 70}},
		{Queue: "other", Bounds: []int64{0}, Cores: []int64{99_000}},
		{Team: "t", Queue: "q", Bounds: []int64{0}, Cores: []int64{99_000}}, // the room of the team is not known
	}}
	base := Request{Team: "t", Queue: "q", Service: "s", Laxity: 3 * time.Second, Demand: Amounts{9000, 0}, Largest: Amounts{3000, 0}}
	for name, c := range map[string]struct {
		change func(q *Request)
		want   time.Duration
	}{
		"the least laxity overtakes all":      {func(q *Request) { q.Laxity = 999 * time.Millisecond }, 0},
		"some work has less laxity":           {func(q *Request) { q.Laxity = time.Second }, 10 * time.Millisecond},
		"a laxity between two bounds":         {func(*Request) {}, 100 * time.Millisecond},
		"all work has less laxity":            {func(q *Request) { q.Laxity = time.Minute }, time.Second},
		"it needs the label":                  {func(q *Request) { q.Labels = []string{"y", "x"} }, 107 * time.Millisecond},
		"it needs another label":              {func(q *Request) { q.Labels = []string{"y"} }, 100 * time.Millisecond},
		"it needs memory as well":             {func(q *Request) { q.Demand[Memory] = 200 }, 5 * time.Second},
		"it fits now":                         {func(q *Request) { q.Demand, q.Largest = Amounts{4000, 0}, Amounts{2000, 0} }, 0},
		"it fits, but no host holds a task":   {func(q *Request) { q.Demand = Amounts{4000, 0} }, 100 * time.Millisecond},
		"it fits beside all that waits":       {func(q *Request) { q.Demand, q.Largest = Amounts{0, 50}, Amounts{0, 200} }, 0},
		"it does not fit beside what waits":   {func(q *Request) { q.Demand, q.Largest = Amounts{0, 51}, Amounts{0, 200} }, 5 * time.Second},
		"another service, whose room is free": {func(q *Request) { q.Service = "u" }, 0},
		"another queue":                       {func(q *Request) { q.Queue = "empty" }, 0},
		"it needs nothing":                    {func(q *Request) { q.Demand = Amounts{} }, 0},
	} {
		q := base
		c.change(&q)
		if got, own := summary.Wait(&q); got != c.want || own != (got == 0) {
			t.Errorf("%s: the wait is %s, of the team %t; want %s", name, got, own, c.want)
		}
	}
	summary.Teams = []Room{{Name: "t", Free: Amounts{0, -1}}}
	if got, own := summary.Wait(&base); got != 99*time.Second || !own {
		t.Errorf("under the limit of the team the wait is %s, of the team %t", got, own)
	}
	summary.Teams[0].Free[Cores] = -1
	if got, _ := summary.Wait(&base); got != 100*time.Millisecond {
		t.Errorf("without a limit of the team the wait is %s", got)
	}
}
