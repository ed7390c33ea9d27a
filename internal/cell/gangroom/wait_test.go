package gangroom

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against tickets that have expired when the capacity is free, against renewals that come
// so early that they expire before, and against calls about other hosts that delay a renewal or
// cannot let the gang start earlier.
func TestCallsOfAWaitingGang(t *testing.T) {
	const ms = time.Millisecond
	valid := Wait{Validity: 2400 * ms, Renewal: 600 * ms, Search: 1300 * ms, Tickets: 2400 * ms}
	for name, c := range map[string]struct {
		change        func(*Wait)
		renew, search bool
	}{
		"capacity is far away":                    {func(w *Wait) { w.Planned, w.Tickets = 5000*ms, 0 }, false, true},
		"a call would delay the renewal":          {func(w *Wait) { w.Planned, w.Tickets = 2400*ms, 0 }, false, false},
		"a call ends when the renewal is due":     {func(w *Wait) { w.Planned, w.Tickets = 2500*ms, 0 }, false, true},
		"capacity is free soon":                   {func(w *Wait) { w.Planned, w.Tickets = 1200*ms, 0 }, true, false},
		"capacity is not free yet, tickets end":   {func(w *Wait) { w.Planned, w.Tickets = 0, 500*ms }, true, false},
		"tickets last":                            {func(w *Wait) { w.Planned = 1000 * ms }, false, false},
		"tickets last, and a call may be of use":  {func(w *Wait) { w.Planned = 1500 * ms }, false, true},
		"tickets end too soon after the capacity": {func(w *Wait) { w.Planned, w.Tickets = 1000*ms, 1500*ms }, true, false},
		"short calls":                             {func(w *Wait) { w.Planned, w.Tickets, w.Renewal, w.Search = 800*ms, 0, 20*ms, 50*ms }, false, true},
	} {
		w := valid
		c.change(&w)
		if got := w.RenewalDue(); got != c.renew {
			t.Errorf("%s: renewal due: %t, want %t", name, got, c.renew)
		}
		if got := w.SearchUseful(); got != c.search {
			t.Errorf("%s: further hosts are asked about: %t, want %t", name, got, c.search)
		}
	}
}

// Guards against calls that are repeated without end: new tickets suffice, and no call about
// further hosts is made when a renewal is due or would be before the call ends.
func TestCallsOfAWaitingGangEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.Int64Range(0, int64(10*time.Second))
		w := Wait{
			Planned: time.Duration(d.Draw(t, "planned")), Tickets: time.Duration(d.Draw(t, "tickets")), Validity: time.Duration(d.Draw(t, "validity")),
			Renewal: time.Duration(d.Draw(t, "renewal")), Search: time.Duration(d.Draw(t, "search")),
		}
		if w.RenewalDue() && w.SearchUseful() {
			t.Error("both calls are to be made at once")
		}
		if w.SearchUseful() && w.Search > w.Planned {
			t.Error("a call is made that ends after the capacity is free")
		}
		after := w
		if after.Planned, after.Tickets = max(w.Planned-w.Renewal, 0), w.Validity; w.RenewalDue() && after.RenewalDue() {
			t.Error("a renewal is due again when the first one ends in time")
		}
	})
}
