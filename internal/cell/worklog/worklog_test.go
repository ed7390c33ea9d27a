package worklog

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

func TestWorklog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "worklog")
}

const topicName = "keyed.test"

func keys(s *platform.Store) func() []string {
	return func() (out []string) {
		page, err := s.Read(context.Background(), topicName, 0, 0)
		if err != nil {
			return []string{err.Error()}
		}
		for _, r := range page.Records {
			out = append(out, r.Key)
		}
		return out
	}
}

var _ = ginkgo.Describe("the work log", func() {
	var (
		standin *users.Store
		store   *platform.Store
		log     = slog.New(slog.DiscardHandler)
		ctx     context.Context
	)
	ginkgo.BeforeEach(func() {
		standin = users.NewStore()
		ginkgo.DeferCleanup(standin.Close)
		store = platform.NewStore(standin.Address())
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
	})
	target := func() Target {
		return Target{Store: store, Clock: boottime.Clock{}, Meter: latency.New(), Log: log, Topic: topicName}
	}
	record := func(key string) platform.Record { return platform.Record{Key: key, Value: []byte("1")} }
	briefly := func() context.Context {
		c, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		ginkgo.DeferCleanup(cancel)
		return c
	}

	// Guards against an owner whose first append has the sequence number of its
	// claim: the store takes it for a repeat and does not store it, so that
	// acknowledged results are lost.
	ginkgo.It("never reuses the sequence number of a claim whose outcome is unknown", func() {
		j := NewJournal(target(), 1, 7, func() {})
		standin.SetFault(users.DropAppendResponses)
		err := j.Claim(briefly(), record("claim"))
		gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
		standin.SetFault(users.NoFault)
		gomega.Expect(j.Store(ctx, []platform.Record{record("ends")})).To(gomega.Succeed())
		gomega.Expect(keys(store)()).To(gomega.Equal([]string{"claim", "ends"}))
	})

	// Guards against two owners with one token: the store must accept only one of
	// two claims.
	ginkgo.It("lets one of two claims of a token succeed", func() {
		first := NewJournal(target(), 3, 10, func() {})
		second := NewJournal(target(), 3, 20, func() {})
		gomega.Expect(first.Claim(ctx, record("first"))).To(gomega.Succeed())
		gomega.Expect(second.Claim(ctx, record("second"))).NotTo(gomega.Succeed())
		gomega.Expect(keys(store)()).To(gomega.Equal([]string{"first"}))
	})

	// Guards against an earlier owner whose progress overwrites that of a later one.
	ginkgo.It("fences an owner once a higher token is known", func() {
		old := NewJournal(target(), 1, 1, func() {})
		next := NewJournal(target(), 2, 1, func() {})
		gomega.Expect(old.Claim(ctx, record("old"))).To(gomega.Succeed())
		gomega.Expect(next.Claim(ctx, record("next"))).To(gomega.Succeed())
		gomega.Expect(old.Store(ctx, []platform.Record{record("late")})).To(gomega.MatchError(platform.ErrFenced))
		gomega.Expect(old.Store(ctx, []platform.Record{record("later")})).NotTo(gomega.Succeed())
		gomega.Expect(keys(store)()).To(gomega.Equal([]string{"old", "next"}))
	})

	// Guards against an owner that remains owner of the cell while the store refuses
	// its appends.
	ginkgo.It("reports when the store refuses the owner several times", func() {
		refused := make(chan struct{})
		j := NewJournal(target(), 1, 1, func() { close(refused) })
		standin.SetFault(users.RejectAll)
		go func() { _ = j.Store(ctx, []platform.Record{record("x")}) }()
		gomega.Eventually(refused, "5s").Should(gomega.BeClosed())
	})

	ginkgo.Describe("the appender", func() {
		var a *Appender
		ginkgo.BeforeEach(func() {
			a = NewAppender(target(), "node/boot")
			go a.Run(ctx)
		})

		// Guards against an error that says "not stored" for a record that is stored
		// after all.
		ginkgo.It("reports an unknown outcome when the answer is lost, and stores once", func() {
			standin.SetFault(users.DropAppendResponses)
			err := a.Append(briefly(), record("x"))
			gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.MayHaveRun))
			standin.SetFault(users.NoFault)
			gomega.Expect(a.Append(ctx, record("y"))).To(gomega.Succeed())
			gomega.Expect(keys(store)()).To(gomega.Equal([]string{"x", "y"}))
		})

		// Guards against callers that wait until their own timeout at a node that the
		// store refuses.
		ginkgo.It("reports at once that a refused record is not stored", func() {
			standin.SetFault(users.RejectAll)
			err := a.Append(ctx, record("x"))
			gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
			standin.SetFault(users.NoFault)
			gomega.Consistently(keys(store), "200ms").Should(gomega.BeEmpty())
		})

		// Guards against a record that is stored after its caller was told that it
		// was never sent.
		ginkgo.It("drops a record that its caller abandoned before it was sent", func() {
			standin.SetFault(users.Unresponsive)
			first := &pending{record: record("first"), done: make(chan error, 1)}
			a.mu.Lock()
			a.queue = append(a.queue, first)
			a.mu.Unlock()
			a.wake <- struct{}{}
			gomega.Eventually(func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return first.sent
			}, "5s").Should(gomega.BeTrue())
			c, cancel := context.WithCancel(ctx)
			done := make(chan error, 1)
			go func() { done <- a.Append(c, record("second")) }()
			gomega.Eventually(func() int {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.queue)
			}, "5s").Should(gomega.Equal(1))
			cancel()
			var err error
			gomega.Eventually(done, "5s").Should(gomega.Receive(&err))
			gomega.Expect(verdict.Of(err)).To(gomega.Equal(verdict.DidNotRun))
			standin.SetFault(users.NoFault)
			gomega.Eventually(keys(store), "10s").Should(gomega.Equal([]string{"first"}))
			gomega.Expect(a.Append(ctx, record("third"))).To(gomega.Succeed())
			gomega.Expect(keys(store)()).To(gomega.Equal([]string{"first", "third"}))
		})
	})

	// Guards against a reader that stops, skips records or goes back when the
	// records between two of its reads were deleted.
	ginkgo.It("reads the newest records when older ones were deleted", func() {
		seen := make(chan string, 1000)
		f := NewTopicReader(store, boottime.Clock{}, log, Options{Topic: topicName, Wait: 50 * time.Millisecond, Meter: latency.New()}, func(p Page) {
			for _, r := range p.Records {
				seen <- r.Key
			}
		})
		for i := range 50 {
			standin.Put(topicName, fmt.Sprintf("key%02d", i), []byte("1"))
		}
		go f.Run(ctx)
		for i := range 50 {
			gomega.Eventually(seen, "5s").Should(gomega.Receive(gomega.Equal(fmt.Sprintf("key%02d", i))))
		}
		standin.SetFault(users.RejectAll)
		gomega.Eventually(f.Failing, "5s").Should(gomega.BeTrue())
		standin.Put(topicName, "new", []byte("1"))
		standin.TrimHistory(topicName)
		standin.SetFault(users.NoFault)
		gomega.Eventually(seen, "5s").Should(gomega.Receive(gomega.Equal("new")))
		gomega.Expect(f.CatchUp(ctx)).To(gomega.Succeed())
		gomega.Expect(f.Failing()).To(gomega.BeFalse())
	})
})
