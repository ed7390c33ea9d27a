package intake

import "testing"

// Guards against budgets that, together with stored work, exceed the memory, against
// those that shrink although there is memory, and against one that leaves nothing.
func TestLimitUnderPressure(t *testing.T) {
	for used, want := range map[int64]int64{0: 80, 50: 80, 75: 80, 80: 60, 85: 40, 90: 20, 99: 20, 200: 20} {
		if got := LimitUnderPressure(80, used*10, 1000); got != want {
			t.Errorf("%d %% used: limit %d, want %d", used, got, want)
		}
	}
}

// Guards against messages that are kept beyond a limit that has become lower, and
// against one that is being processed and is shed for it.
func TestBudgetShedsWhenItsLimitFalls(t *testing.T) {
	b := NewBudget(100)
	old, young, processed := b.Open(), b.Open(), b.Open()
	b.Grow(old, 30)
	b.Grow(young, 30)
	b.Complete(processed, 30)
	if shed := b.SetLimit(60); len(shed) != 1 || shed[0] != old {
		t.Errorf("shed %v, want the oldest message %d", shed, old)
	}
	if shed := b.SetLimit(10); len(shed) != 1 || shed[0] != young {
		t.Errorf("shed %v, want the other incomplete message %d", shed, young)
	}
	if s := b.Stats(); s.Processing != 30 || s.Receiving != 0 || s.Limit != 10 {
		t.Errorf("state %+v", s)
	}
}

// Guards against the only message that is refused, since the limit has become lower.
func TestBudgetKeepsLoneMessageWhenItsLimitFalls(t *testing.T) {
	b := NewBudget(100)
	id := b.Open()
	b.Grow(id, 80)
	if shed := b.SetLimit(10); shed != nil {
		t.Errorf("shed %v", shed)
	}
	if _, ok := b.Grow(id, 10); !ok {
		t.Error("the only message is shed")
	}
}
