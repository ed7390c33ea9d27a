package owner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against a pause between the check of the authority and the sending of a start order that
// neither the log nor the metrics show, and against a line for each order of a late owner.
func TestLateStartOrderIsLoggedAndCounted(t *testing.T) {
	h := newHostTest(t)
	h.list(nil, testHost("h", "a"))
	h.pollOnce("h")
	h.storeHosts()
	var logged bytes.Buffer
	scope := tally.NewTestScope("", nil)
	h.delays = newDelayLog(slog.New(slog.NewTextHandler(&logged, nil)), scope)
	pause := lateStartThreshold - time.Millisecond
	sending := false
	h.options.Evacuated = func() (*cell.EvacuatedZones, time.Duration, bool) { // it is asked for right before an order
		if sending {
			h.clock.now += pause
		}
		return nil, h.clock.now, true
	}
	startOne := func(id string) {
		h.submit(id)
		plan, _, _ := h.plan()
		sending = true
		h.execute(t.Context(), plan)
		h.goroutines.Wait()
		sending = false
	}
	startOne("in time")
	if logged.Len() > 0 {
		t.Errorf("an order in time is logged: %q", logged.String())
	}
	pause = 2 * lateStartThreshold
	startOne("late")
	startOne("late again")
	if got := strings.Count(logged.String(), `msg="A start order is sent late after the check of the authority." after=200ms`); got != 1 {
		t.Errorf("%d lines, want 1: %q", got, logged.String())
	}
	if got := scope.Snapshot().Counters()["starts_delayed+"].Value(); got != 2 {
		t.Errorf("%d delayed starts are counted, want 2", got)
	}
	if got := len(h.client.started); got != 3 {
		t.Errorf("%d starts are sent, want 3", got)
	}
}
