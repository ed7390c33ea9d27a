package owner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// loggedTest is a hostTest whose log is read.
type loggedTest struct {
	*hostTest
	logged bytes.Buffer
}

func newLoggedTest(t *testing.T) *loggedTest {
	l := &loggedTest{hostTest: newHostTest(t)}
	l.options.Log = slog.New(slog.NewTextHandler(&l.logged, nil))
	return l
}

// expect checks that the log has a part, and removes what was logged.
func (l *loggedTest) expect(part string) {
	l.t.Helper()
	if !strings.Contains(l.logged.String(), part) {
		l.t.Errorf("%q is missing in %q", part, l.logged.String())
	}
	l.logged.Reset()
}

// Guards against a log that does not tell whether and why the owner before was taken for gone, and
// when.
func TestEvidenceThatEarlierOwnersAreGoneIsLogged(t *testing.T) {
	l := newLoggedTest(t)
	evidence := "none: its process is listed"
	l.options.EarlierOwner = func() EarlierOwner { return EarlierOwner{Node: "n1", Instance: "b1", Evidence: evidence} }
	l.succeedOwner(2 * time.Second)
	l.beginWithEarlierOwners()
	l.expect(`msg="An earlier owner may still act." token=2 earlier_node=n1 earlier_instance=b1 evidence="none: its process is listed" after=0s`)
	l.clock.now += 3 * time.Second
	evidence = "replaced by instance b2"
	l.withState(l.checkReconciled)
	l.pollOnce("h")
	l.pollUnanswered()
	l.expect(`msg="No earlier owner can act any more." token=2 earlier_node=n1 earlier_instance=b1 evidence="replaced by instance b2" after=3s`)
	l.checkEarlierOwners()
	if l.logged.Len() > 0 {
		t.Errorf("it is logged again: %q", l.logged.String())
	}
}

// Guards against a silent host of which the log does not tell on what time bound its runs were
// taken as ended.
func TestBoundOfASilentHostIsLogged(t *testing.T) {
	for bound, prepare := range map[string]func(l *loggedTest, p *hostPoller){
		boundOwnLease:     func(l *loggedTest, _ *hostPoller) { l.client.answers["a"] = answersAs(1); l.pollOnce("h") },
		boundEarlierLease: func(*loggedTest, *hostPoller) {},
		boundLongestLease: func(_ *loggedTest, p *hostPoller) { p.storedLifetime = registry.NoLifetime },
		boundLateCall: func(l *loggedTest, p *hostPoller) {
			l.client.answers["a"] = answersAs(1)
			l.pollOnce("h")
			p.calls.unanswered(p.calls.add(p.life, schedule.Run{}, l.clock.now), l.clock.now)
			p.listedLifetime = 2
		},
	} {
		t.Run(bound, func(t *testing.T) {
			l := newLoggedTest(t)
			l.options.MaxLease = testMaxLease
			l.succeedOwner(0)
			prepare(l, l.poller("h"))
			l.client.answers["a"] = doesNotAnswer
			l.pollOnce("h") // the last one that may have renewed the lease
			l.clock.now += 3 * maxOrderDelay
			l.pollUnanswered()
			l.expect(`its leases have expired." host=h bound=` + bound + " earlier_owners_gone=")
		})
	}
}

// Guards against a host that the former owner had closed and that has not answered, while the log
// counts it among those whose runs are known.
func TestClosedHostsAreCountedWhenRunsAreKnown(t *testing.T) {
	l := newLoggedTest(t)
	spec, other := testHost("h", "a"), testHost("other", "b")
	l.list(map[string]registry.Host{"h": {Spec: spec}, "other": {Spec: other, Closed: true}}, spec, other)
	l.pollOnce("h")
	l.withState(l.checkReconciled)
	l.expect(`msg="All runs of earlier owners are known or have ended." token=2 hosts=2 silent=0 closed=1 earlier_owners_gone=true after=0s`)
}
