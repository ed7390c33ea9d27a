package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// replayTotals is what one or more replays used in all.
type replayTotals struct {
	// calls is the time of advice calls by kind, and count how many there were.
	calls map[string]time.Duration
	count int
	stops int
	// used and reserved are the core-seconds that were in use, and those that were free and kept
	// for gangs, while work arrived.
	used, reserved float64
}

func (t *replayTotals) addCall(kind string, d time.Duration) {
	t.calls[kind] += d
	t.count++
}

// merge adds the totals of another replay.
func (t *replayTotals) merge(o replayTotals) {
	if t.calls == nil {
		t.calls = make(map[string]time.Duration)
	}
	for kind, d := range o.calls {
		t.calls[kind] += d
	}
	t.count, t.stops, t.used, t.reserved = t.count+o.count, t.stops+o.stops, t.used+o.used, t.reserved+o.reserved
}

// callTime returns the time of all advice calls.
func (t *replayTotals) callTime() (sum time.Duration) {
	for _, d := range t.calls {
		sum += d
	}
	return sum
}

// String returns the totals as a row of a table.
func (t *replayTotals) String() string {
	parts := make([]string, 0, len(t.calls))
	for _, kind := range slices.Sorted(maps.Keys(t.calls)) {
		parts = append(parts, fmt.Sprintf("%.0f s %s", t.calls[kind].Seconds(), kind))
	}
	return fmt.Sprintf("%.0f s in %d advice calls (%s), %d stops, %.0f core-seconds used, %.0f reserved and idle",
		t.callTime().Seconds(), t.count, strings.Join(parts, ", "), t.stops, t.used, t.reserved)
}
