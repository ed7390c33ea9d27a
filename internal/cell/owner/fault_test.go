package owner

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// logBuffer is a log that a test reads while others write to it.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// faultyHostClient panics at each poll, as a fault in the code of a poll would.
type faultyHostClient struct{ HostClient }

func (faultyHostClient) Poll(context.Context, *cell.Host, platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	panic("a fault that nobody expected")
}

func (faultyHostClient) Start(context.Context, *cell.Host, platform.Start) (int64, platform.Refusal, error) {
	panic("a fault that nobody expected")
}

// faultyJournal panics at each append.
type faultyJournal struct{}

func (faultyJournal) Store(context.Context, []platform.Record) error {
	panic("a fault that nobody expected")
}

// faultyAdvisor panics at each call.
type faultyAdvisor struct{}

func (faultyAdvisor) Ask(context.Context, advice.Call, int) (map[string]string, error) {
	panic("a fault that nobody expected")
}

func (faultyAdvisor) Capacity() cell.AdviceRoom { return cell.AdviceRoom{Long: 1, Short: 1} }

// Guards against a fault in one of the owner's goroutines that ends the process, and with
// it the calls that it serves, again and again; and against an owner that goes on with a
// state that was changed in part.
func TestFaultEndsTheTermAndNotTheProcess(t *testing.T) {
	host := cell.Host{ID: "h", Service: "s", Address: "10.0.0.1:1"}
	sub := &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: 1}}}
	withAdvice := &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q", Service: "s", Advice: &cell.AdvicePolicy{}}, Steps: []cell.Step{{Count: 1}}}
	panicDesired := func() *cell.Desired { panic("a fault that nobody expected") }
	for name, c := range map[string]struct {
		sub   *cell.Submission
		fault func(o *Options)
	}{
		"a poll":      {sub, func(o *Options) { o.HostClient = faultyHostClient{} }},
		"a start":     {sub, func(o *Options) { o.HostClient = startFaults{o.HostClient} }},
		"a decision":  {sub, func(o *Options) { o.Desired = panicDesired }},
		"an append":   {sub, func(o *Options) { o.Journal = faultyJournal{} }},
		"advice":      {withAdvice, func(o *Options) { o.Advisor = faultyAdvisor{} }},
		"a new state": {&cell.Submission{ID: "x", Steps: []cell.Step{{Count: 1, After: []int{7}}}}, func(*Options) {}},
	} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			g := gomega.NewWithT(t)
			log := &logBuffer{}
			o := Options{
				Self: registry.Ownership{Node: "n", InstanceID: "b", Token: 1}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Desired: func() *cell.Desired { return nil },
				Log: slog.New(slog.NewTextHandler(log, nil)), HostClient: &fakeHostClient{startedAt: time.Now()}, Journal: &fakeJournal{},
				EarlierOwnersGone: func() bool { return true }, MaxLease: 300 * time.Millisecond, RetentionPeriod: time.Minute,
			}
			c.fault(&o)
			w := New(o)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan struct{})
			go func() { w.Run(ctx); close(ended) }()
			w.SetHosts(ctx, map[string]registry.Host{"h": {Spec: host}}, []cell.Host{host})
			w.Submitted(registry.Entry{Submission: c.sub})
			g.Eventually(ended, "5s").Should(gomega.BeClosed())
			g.Expect(w.OwnershipLost()).To(gomega.BeClosed())
			g.Expect(w.Acts()).To(gomega.BeFalse())
			g.Expect(strings.Count(log.String(), "goroutine ")).To(gomega.BeNumerically(">", 0), "the stack is in the log")
		})
	}
}

// startFaults panics at each start, and answers polls.
type startFaults struct{ HostClient }

func (startFaults) Start(context.Context, *cell.Host, platform.Start) (int64, platform.Refusal, error) {
	panic("a fault that nobody expected")
}

// Guards against one stored submission that the scheduler cannot take, so that no node
// can be the owner.
func TestLoadLeavesOutSubmissionsThatFail(t *testing.T) {
	log := &logBuffer{}
	w := New(Options{
		Self: registry.Ownership{Token: 2}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.NewTextHandler(log, nil)),
		Desired: func() *cell.Desired { return nil }, EarlierOwnersGone: func() bool { return false },
	})
	entry := func(id string, after ...int) registry.Entry {
		return registry.Entry{Submission: &cell.Submission{ID: id, Steps: []cell.Step{{Count: 1, After: after}}}}
	}
	w.options.Stored = func() []registry.Entry {
		return []registry.Entry{entry("a"), entry("odd1", 7), entry("b"), entry("odd2", -1), entry("c")}
	}
	w.load()
	for _, id := range []string{"a", "b", "c"} {
		if w.Explain(id) == nil {
			t.Errorf("submission %s is lost", id)
		}
	}
	for _, id := range []string{"odd1", "odd2"} {
		if w.Explain(id) != nil || !strings.Contains(log.String(), "id="+id) {
			t.Errorf("submission %s is used, or is not in the log", id)
		}
	}
	select {
	case <-w.OwnershipLost():
		t.Error("the ownership is lost")
	default:
	}
}

// Guards against ends that are acknowledged to a host and not stored, since a round of
// storing ended after a fault without the progress of that time.
func TestNothingCountsAsStoredAfterAFault(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := New(Options{
		Self: registry.Ownership{Token: 1}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Desired: func() *cell.Desired { return nil },
		Log: slog.New(slog.DiscardHandler), Journal: &fakeJournal{}, EarlierOwnersGone: func() bool { return true }, RetentionPeriod: time.Minute,
	})
	w.Abort("test")
	ctx, cancel := context.WithTimeout(t.Context(), 3*maxStoreInterval)
	defer cancel()
	w.runGuarded(func() { w.persist(ctx) })
	if w.storeRounds.waitStored(ctx) {
		t.Error("a round of storing counts although the state was changed in part")
	}
	w.goroutines.Wait()
}
