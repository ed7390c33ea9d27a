package admission

import (
	"testing"
	"time"
)

// Guards against an age that is counted from a time after the computation, from a read that had
// all records already, or from reads that are forgotten; and against a ring without a bound.
func TestReadTimesBoundTheComputation(t *testing.T) {
	var r ReadTimes
	if _, ok := r.Before(10); ok {
		t.Error("without a read there is a time")
	}
	r.Add(10, time.Second)
	if _, ok := r.Before(10); ok {
		t.Error("a read that had all records bounds nothing")
	}
	if at, ok := r.Before(11); !ok || at != time.Second {
		t.Errorf("before record 10 was stored: %s, %t", at, ok)
	}
	r.Add(10, 2*time.Second) // nothing was stored for a second
	r.Add(12, 2*time.Second+time.Millisecond)
	r.Add(15, 3*time.Second)
	if at, _ := r.Before(11); at != 2*time.Second {
		t.Errorf("before record 10 was stored: %s", at)
	}
	if at, _ := r.Before(15); at != 2*time.Second {
		t.Errorf("before record 14 was stored: %s", at)
	}
	for i := range 10 * maxReadTimes {
		r.Add(uint64(100+i), 4*time.Second+time.Duration(i)*readTimeSpacing)
	}
	if len(r.ring) != maxReadTimes {
		t.Errorf("%d reads are remembered", len(r.ring))
	}
	if _, ok := r.Before(100); ok {
		t.Error("a forgotten read bounds an age")
	}
	if maxReadTimes*readTimeSpacing < MaxSummaryAge {
		t.Error("the remembered reads do not reach back to the greatest age")
	}
}
