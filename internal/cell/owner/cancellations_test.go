package owner

import (
	"testing"
	"time"
)

const testCancelBound = 3 * time.Second

// cancelTest is an owner with one host and one submission, "job", and its reads of the work
// topic.
type cancelTest struct {
	*hostTest
	readAt time.Duration
	read   bool
}

func newCancelTest(t *testing.T, bound time.Duration) *cancelTest {
	c := &cancelTest{hostTest: newHostTest(t), read: true}
	c.readAt = c.clock.now
	c.options.WorkAsOf = func() (time.Duration, bool) { return c.readAt, c.read }
	c.options.CancelBound = bound
	c.list(nil, testHost("h", "a"))
	c.pollOnce("h")
	c.storeHosts()
	c.submit("job")
	return c
}

// sendPlan makes a decision, and sends its orders after a delay in which meanwhile runs.
func (c *cancelTest) sendPlan(delay time.Duration, meanwhile func()) []string {
	plan, _, _ := c.plan()
	if len(plan.Starts) != 1 {
		c.t.Fatalf("%d starts are planned, want 1", len(plan.Starts))
	}
	c.clock.now += delay
	c.authority.extend(c.clock.now)
	meanwhile()
	c.execute(c.t.Context(), plan)
	c.goroutines.Wait()
	return c.client.started
}

// Guards against a task that starts long after the cancellation of its submission was
// acknowledged: the cancellation was read, and an owner without processor time had not applied
// it when an order was sent that had waited.
func TestStartThatWaitsIsNotSentPastAnUnappliedCancellation(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	got := c.sendPlan(maxReadAge(testCancelBound), func() {
		c.readAt = c.clock.now
		c.CancelRequested("job")
	})
	if len(got) > 0 {
		t.Errorf("a task of a cancelled submission starts at %v", got)
	}
	if calls := c.poller("h").calls.list; len(calls) != 0 {
		t.Errorf("%d orders that were not sent are remembered", len(calls))
	}
	for range 3 {
		c.readAt = c.clock.now
		if got := c.decideOnce(); len(got) > 0 {
			t.Errorf("a task of a cancelled submission starts at %v", got)
		}
	}
}

// Guards against an order that is due by an old state, and passes the check since the next
// decision has applied newer records meanwhile.
func TestOrderIsCheckedAgainstTheReadOnWhichItIsDue(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	plan, _, _ := c.plan()
	_, sent, known := c.startTarget(c.poller("h"), plan.Starts[0])
	if sent == nil || !c.mayStartAsOf(known) {
		t.Fatal("the order is not to be sent at once")
	}
	c.clock.now += maxReadAge(testCancelBound)
	c.readAt = c.clock.now
	c.CancelRequested("job")
	c.plan()
	if c.mayStartAsOf(known) {
		t.Error("the order is sent after the cancellation was applied")
	}
}

// Guards against an owner that plans starts while it cannot read the work topic, and against
// work that is lost or waits on then.
func TestNothingStartsOnAnOldReadOfTheWorkTopic(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	c.clock.now += maxReadAge(testCancelBound)
	for range 5 {
		if got := c.decideOnce(); len(got) > 0 {
			t.Fatalf("tasks start at %v on a read from %s ago", got, c.clock.now-c.readAt)
		}
	}
	if !c.Dump().Cell.StartsHeld {
		t.Error("the dump does not show that nothing starts")
	}
	c.readAt = c.clock.now
	if got := c.decideOnce(); len(got) != 1 {
		t.Errorf("%d starts after another read, want 1", len(got))
	}
}

// Guards against a withheld order whose task is not started later.
func TestWithheldTaskStartsAfterAnotherRead(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	if got := c.sendPlan(maxReadAge(testCancelBound), func() {}); len(got) > 0 {
		t.Fatalf("tasks start at %v on an old read", got)
	}
	c.readAt = c.clock.now
	if got := c.decideOnce(); len(got) != 1 {
		t.Errorf("%d starts after another read, want 1", len(got))
	}
}

// Guards against a change for deployments without the setting, and against reads as old as they
// are at a store that is slow but answers.
func TestStartsGoOnWithoutABoundOrOnARecentRead(t *testing.T) {
	for bound, delay := range map[time.Duration]time.Duration{0: time.Hour, testCancelBound: 1900 * time.Millisecond} {
		c := newCancelTest(t, bound)
		if got := c.sendPlan(delay, func() {}); len(got) != 1 {
			t.Errorf("bound %s: %d starts after %s, want 1", bound, len(got), delay)
		}
	}
}

// Guards against an order that is still in flight when the cancellation has to be in effect.
func TestOrdersInFlightFitIntoTheCancelBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Millisecond, 500 * time.Millisecond, 2 * time.Second, testCancelBound, time.Hour} {
		c := newCancelTest(t, bound)
		if age := maxReadAge(bound); age <= 0 || age+c.startTimeout() > bound {
			t.Errorf("bound %s: an order may be sent until %s and take %s", bound, age, c.startTimeout())
		}
	}
}

// Guards against an owner that cannot read the work topic while its appends succeed, and so keeps
// the ownership and starts nothing for good.
func TestOwnerThatCannotReadTheWorkTopicAsksForATakeover(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	requests := 0
	c.options.RequestTakeover = func() { requests++ }
	decideAfter := func(d time.Duration) {
		c.clock.now += d
		c.authority.extend(c.clock.now)
		c.decideOnce()
		c.goroutines.Wait()
	}
	decideAfter(maxReadAge(testCancelBound))
	if requests != 0 {
		t.Errorf("%d requests at once, want 0", requests)
	}
	decideAfter(heldStartsTimeout)
	decideAfter(time.Millisecond)
	if requests != 1 {
		t.Errorf("%d requests after %s, want 1", requests, heldStartsTimeout)
	}
}

// Guards against a read of the work topic that vouches for records which are applied only with the
// next decision.
func TestReadIsNotedOnceBeforeItsRecordsAreApplied(t *testing.T) {
	c := newCancelTest(t, testCancelBound)
	calls := 0
	c.options.WorkAsOf = func() (time.Duration, bool) {
		calls++
		c.CancelRequested("job") // it is read right after
		return c.clock.now, true
	}
	if plan, _, _ := c.plan(); len(plan.Starts) > 0 || calls != 1 {
		t.Errorf("%d starts of the cancelled submission are planned; the read is noted %d times, want once", len(plan.Starts), calls)
	}
}
