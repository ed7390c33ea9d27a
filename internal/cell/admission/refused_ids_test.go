package admission

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a refused submission that is forgotten by the entry of an earlier refusal, and
// against one that keeps others in memory beyond their time.
func TestLastRefusalOfAnIDCounts(t *testing.T) {
	var r refusedIDs
	r.add("x", time.Hour)
	r.remove("x")
	later := time.Hour + time.Minute
	r.add("x", later)
	for i := range maxRefusedIDs - 1 {
		r.add(fmt.Sprint(i), later)
	}
	if !r.has("x", later) || len(r.order) != maxRefusedIDs {
		t.Errorf("remembered %t, %d refusals", r.has("x", later), len(r.order))
	}

	r = refusedIDs{}
	r.add("first", time.Hour)
	r.add("second", time.Hour)
	r.add("first", time.Hour+refusedIDAge/2)
	r.add("third", time.Hour+refusedIDAge)
	if len(r.at) != 2 || !r.has("first", time.Hour+refusedIDAge) {
		t.Errorf("%d are remembered, of which two are not too old: %v", len(r.at), r.at)
	}
}
