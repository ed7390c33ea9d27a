package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against a run that is never stopped, and counts for ever: its stop order was
// dropped since the owner might not act at that moment, and was not sent again.
func TestStopIsSentOnceTheOwnerMayActAgain(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	h.CancelRequested("first")
	h.withState(h.applyEvents)
	plan := h.scheduler.Decide(h.clock.now, 0)
	if len(plan.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(plan.Stops))
	}
	h.clock.now += AuthorityDuration + time.Second // no append has been accepted
	h.execute(t.Context(), plan)
	h.goroutines.Wait()
	if len(h.client.stopped) > 0 {
		t.Fatal("a stop is sent without authority")
	}
	for range 3 {
		h.decideOnce()
	}
	if got := len(h.client.stopped); got == 0 {
		t.Error("the stop is not sent once the owner may act again")
	}
}

// Guards against a task that runs twice: its start order was sent late, after the run had
// been given up and the task been started elsewhere.
func TestStartOfARunThatWasGivenUpIsNotSent(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	h.submit("late")
	plan := h.scheduler.Decide(h.clock.now, 0)
	if len(plan.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(plan.Starts))
	}
	h.scheduler.MarkAllRunsGone("h", h.clock.now)
	h.client.started = nil
	h.execute(t.Context(), plan)
	h.goroutines.Wait()
	if len(h.client.started) > 0 {
		t.Error("the start is sent")
	}
}

// Guards against a task that waits for up to a second after its unanswered start order has
// been settled: the host holds the poll open until a run ends, and none does.
func TestHostIsPolledOnceAnUnansweredOrderIsSettled(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	p := h.poller("h")
	task := cell.TaskID{Submission: "unanswered"}
	h.submit(task.Submission)
	plan := h.scheduler.Decide(h.clock.now, 0)
	if len(plan.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(plan.Starts))
	}
	h.scheduler.Unanswered("h", task, plan.Starts[0].Run, h.clock.now)
	h.clock.now += 10 * time.Millisecond
	h.pollOnce("h") // the host does not list the run
	h.decideOnce()
	if len(h.client.stopped) != 1 {
		t.Fatalf("%d stops, want 1", len(h.client.stopped))
	}
	select {
	case <-p.interrupt:
	default:
		t.Error("the host is not polled again")
	}
}
