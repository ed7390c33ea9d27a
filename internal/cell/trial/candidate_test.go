package trial

import (
	"slices"
	"testing"
	"time"
)

// Guards against a deadly suspect that is tried before others again and again, against a
// suspect that is never tried, and against work of confined queues that counts as a suspect.
func TestOrderOfTrials(t *testing.T) {
	list := func() []Candidate[string] {
		return []Candidate[string]{
			{Work: "deadly", Blame: 3, Suspected: true, Wait: &Wait{Since: time.Second}},
			{Work: "doubtful", Blame: 1, Suspected: true, Wait: &Wait{Since: 2 * time.Second}},
			{Work: "confined", Wait: &Wait{}},
			{Work: "new", Blame: 1, Suspected: true, Wait: &Wait{}},
		}
	}
	l := list()
	if got := Order(l, 1, time.Minute); !slices.Equal(got, []string{"confined", "doubtful", "new", "deadly"}) {
		t.Errorf("the order is %v", got)
	}
	for _, c := range l {
		if c.Work == "new" && c.Wait.Since != time.Minute || c.Work == "confined" && c.Wait.Since != 0 {
			t.Errorf("the wait of %s began at %s", c.Work, c.Wait.Since)
		}
	}
	if got := Order(list(), AgedInterval, time.Minute); !slices.Equal(got, []string{"deadly", "confined", "doubtful", "new"}) {
		t.Errorf("the order in the turn of the oldest is %v", got)
	}
	if got := Order(l[:0], 0, time.Minute); len(got) != 0 {
		t.Errorf("the order of nothing is %v", got)
	}
}

// Guards against work at the end of a long line that never has its turn, and against a turn
// that exceeds the work of a decision.
func TestAllHaveTheirTurn(t *testing.T) {
	order := make([]int, 11)
	for i := range order {
		order[i] = i
	}
	seen, last := make(map[int]bool), 0
	for range 5 {
		turn := Turn(order, 4, &last)
		if len(turn) > 4 || turn[0] != 0 || turn[1] != 1 {
			t.Errorf("the turn is %v", turn)
		}
		for _, i := range turn {
			seen[i] = true
		}
	}
	if len(seen) != len(order) {
		t.Errorf("only %v had their turn", seen)
	}
	if got := Turn(order, 11, &last); len(got) != 11 {
		t.Errorf("%d have their turn though there is work for all", len(got))
	}
}
