package owner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// Guards against a gang member that times out alone on its host: the owner is slow, and sends
// the orders of all other submissions between those of two members.
func TestOrdersOfAGangAreSentTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newStartQueue()
		planned := 0
		add := func(id string, gang bool, run int64, n int) {
			var list []schedule.Start
			for i := range n {
				list = append(list, schedule.Start{Task: cell.TaskID{Submission: id, Index: i}, Run: run, Gang: gang})
			}
			planned += n
			q.add(list)
		}
		var sent []schedule.Start
		for i := range rapid.IntRange(1, 12).Draw(t, "plans") {
			add(fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "submission")), rapid.Bool().Draw(t, "gang"), int64(i+1), rapid.IntRange(1, 10).Draw(t, "orders"))
			for range rapid.IntRange(0, 8).Draw(t, "sent") {
				if o, ok := q.next(); ok {
					sent = append(sent, o)
				}
			}
		}
		for o, ok := q.next(); ok; o, ok = q.next() {
			sent = append(sent, o)
		}
		if len(sent) != planned {
			t.Fatalf("%d of %d orders are sent", len(sent), planned)
		}
		last := make(map[string]int) // the position of the last member of each gang
		for i, o := range sent {
			if !o.Gang {
				continue
			}
			gang := fmt.Sprint(o.Task.Group(), "/", o.Run)
			if before, ok := last[gang]; ok && before != i-1 {
				t.Fatalf("%d orders are sent between two members of %s", i-1-before, gang)
			}
			last[gang] = i
		}
	})
}
