package owner

import (
	"context"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// latePolls is a client of hosts whose calls end late, since the caller's process is too busy.
type latePolls struct {
	*addressedHosts
	clock *stepClock
	delay time.Duration
}

func (c *latePolls) Poll(ctx context.Context, h *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	l, unreadable, refusal, err := c.addressedHosts.Poll(ctx, h, o)
	if err != nil {
		c.clock.now += o.Wait + pollTimeoutMargin + c.delay
	}
	return l, unreadable, refusal, err
}

// newLatePollsTest returns a successor whose polls of a host end late, after the leases of
// earlier owners have expired.
func newLatePollsTest(t *testing.T, delay time.Duration) *hostTest {
	h := newHostTest(t)
	h.options.HostClient = &latePolls{addressedHosts: h.client, clock: h.clock, delay: delay}
	h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}}, testHost("h", "a"))
	h.client.answers["a"] = doesNotAnswer
	h.clock.now += runsEndWithin(AuthorityDuration + LeaseDuration)
	return h
}

// Guards against a done task that is started again, since the owner was too busy to handle the
// answers of a host in time, and took it for one that does not answer.
func TestLatePollsDoNotShowASilentHost(t *testing.T) {
	h := newLatePollsTest(t, 2*maxOwnDelay)
	for range unreachableThreshold + 2 {
		h.pollOnce("h")
	}
	h.withState(h.checkReconciled)
	if h.poller("h").allRunsGone || h.Reconciled() {
		t.Error("the host counts as silent after polls that the owner ended late")
	}
}

// Guards against work that waits for good for a silent host, since the owner is always late.
func TestSilentHostIsSettledByALateOwner(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * maxOwnDelay} {
		h := newLatePollsTest(t, delay)
		for range lateFailuresThreshold {
			h.pollOnce("h")
		}
		h.withState(h.checkReconciled)
		if !h.Reconciled() {
			t.Errorf("with polls that end %s late, a silent host is waited for", delay)
		}
	}
}
