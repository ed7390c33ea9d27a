package intake

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a budget that is exceeded by more than one message, that sheds a
// message which is being processed or one that takes nothing, that sheds a younger
// message before an older one, or whose sums drift.
func TestBudgetHoldsForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		b := NewBudget(limit)
		receiving, processing := map[ID]int64{}, map[ID]int64{}
		var ids []ID
		closeShed := func(shed []ID) {
			for _, id := range shed {
				if _, ok := receiving[id]; !ok || receiving[id] == 0 {
					t.Fatalf("message %d is shed, which is not being received or takes nothing", id)
				}
				for other, bytes := range receiving {
					if other < id && bytes > 0 {
						t.Fatalf("message %d is shed before the older %d", id, other)
					}
				}
				delete(receiving, id)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(ids) == 0 || rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				id := b.Open()
				ids, receiving[id] = append(ids, id), 0
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			bytes := rapid.Int64Range(0, limit).Draw(t, "bytes")
			_, open := receiving[id]
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0, 1:
				if open {
					receiving[id] += bytes
				}
				shed, ok := b.Grow(id, bytes)
				closeShed(shed)
				if ok != (open && !slices.Contains(shed, id)) {
					t.Fatalf("growth of %d: %t", id, ok)
				}
			case 2:
				delete(receiving, id)
				shed, ok := b.Complete(id, bytes)
				closeShed(shed)
				if ok && !open {
					t.Fatalf("message %d is complete, which was closed", id)
				}
				if ok {
					processing[id] = bytes
				}
			case 3:
				b.Close(id)
				delete(receiving, id)
				delete(processing, id)
			}
			checkBudget(t, b, receiving, processing)
		}
	})
}

func checkBudget(t *rapid.T, b *Budget, receiving, processing map[ID]int64) {
	sum := func(m map[ID]int64) (total int64, takers int) {
		for _, bytes := range m {
			total += bytes
			if bytes > 0 {
				takers++
			}
		}
		return total, takers
	}
	received, receivers := sum(receiving)
	processed, processors := sum(processing)
	s := b.Stats()
	if s.Receiving != received || s.Processing != processed || s.Messages != len(receiving)+len(processing) {
		t.Fatalf("state %+v, want %d and %d bytes of %d messages", s, received, processed, len(receiving)+len(processing))
	}
	if received+processed > s.Limit && receivers+processors > 1 {
		t.Fatalf("%d bytes of %d messages, the limit is %d", received+processed, receivers+processors, s.Limit)
	}
}

// Guards against a message within the limits that is not served although it is alone.
func TestBudgetServesLoneMessageAboveTheLimit(t *testing.T) {
	b := NewBudget(100)
	id := b.Open()
	if shed, ok := b.Grow(id, 150); !ok || shed != nil {
		t.Errorf("the only message is shed")
	}
	if _, ok := b.Complete(id, 600); !ok {
		t.Errorf("the only message is refused")
	}
}

// Guards against clients that stop short of the end and keep others from being served.
func TestBudgetShedsOldestIncompleteMessage(t *testing.T) {
	b := NewBudget(100)
	old, idle := b.Open(), b.Open()
	b.Grow(old, 90)
	next := b.Open()
	if shed, ok := b.Grow(next, 20); !ok || !slices.Equal(shed, []ID{old}) {
		t.Errorf("shed %v, want the oldest message %d", shed, old)
	}
	if _, ok := b.Grow(idle, 1); !ok {
		t.Errorf("a message that took nothing was shed")
	}
}

// Guards against ordinary messages that are refused while large ones are being
// processed slowly, and against those that are cut off before they are complete.
func TestBudgetKeepsReserves(t *testing.T) {
	b := NewBudget(6400)
	large, second, small, last, receiving := b.Open(), b.Open(), b.Open(), b.Open(), b.Open()
	if _, ok := b.Complete(large, 4800); !ok {
		t.Fatal("the first message is refused")
	}
	if _, ok := b.Complete(second, 101); ok {
		t.Error("a large message takes the reserve")
	}
	if _, ok := b.Complete(small, 100); !ok {
		t.Error("a small message is refused")
	}
	for range 7 {
		if _, ok := b.Complete(b.Open(), 100); !ok {
			t.Fatal("a small message is refused")
		}
	}
	if _, ok := b.Complete(last, 100); ok {
		t.Error("small messages take the reserve of those that are being received")
	}
	if shed, ok := b.Grow(receiving, 800); !ok || shed != nil {
		t.Error("there is no memory to receive a message")
	}
}
