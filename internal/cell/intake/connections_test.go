package intake

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against more open connections than the bound, against a connection in use that
// gives way, and against one that gives way although another has waited for longer.
func TestConnectionsHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		c := NewConnections(limit)
		// waits holds the open connections in the order in which their wait began; those
		// in use are in uses.
		var waits []ID
		uses := map[ID]bool{}
		remove := func(id ID) {
			for i, w := range waits {
				if w == id {
					waits = append(waits[:i:i], waits[i+1:]...)
				}
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := ID(rapid.IntRange(0, 12).Draw(t, "id"))
			open := uses[id]
			for _, w := range waits {
				open = open || w == id
			}
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0, 1:
				full := len(waits)+len(uses) == limit
				added, evicted, ok := c.Open()
				if ok != (!full || len(waits) > 0) || (evicted != 0) != (full && ok) || evicted != 0 && evicted != waits[0] {
					t.Fatalf("opened %d, evicted %d, %t with %v waiting and %v in use", added, evicted, ok, waits, uses)
				}
				if ok {
					remove(evicted)
					waits = append(waits, added)
				}
			case 2:
				if got := c.Use(id); got != open {
					t.Fatalf("use of %d: %t", id, got)
				}
				if open {
					remove(id)
					uses[id] = true
				}
			case 3:
				c.Wait(id)
				if open {
					remove(id)
					delete(uses, id)
					waits = append(waits, id)
				}
			case 4:
				c.Close(id)
				remove(id)
				delete(uses, id)
			}
			if s := c.Stats(); s.Open != len(waits)+len(uses) || s.Waiting != len(waits) || s.Open > limit {
				t.Fatalf("state %+v with %v waiting and %v in use", s, waits, uses)
			}
		}
	})
}
