package advice

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeService answers a call when the test sends on proceed.
type fakeService struct {
	proceed chan struct{}

	mu      sync.Mutex
	calls   []string
	present int
	most    int
}

func newFakeService() *fakeService { return &fakeService{proceed: make(chan struct{}, 100)} }

func (s *fakeService) Ask(ctx context.Context, g cell.GroupID, hosts []string) (map[string]string, error) {
	s.mu.Lock()
	s.calls = append(s.calls, g.Submission)
	s.present++
	s.most = max(s.most, s.present)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.present--
	}()
	select {
	case <-s.proceed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return map[string]string{hosts[0]: "t"}, nil
}

func (s *fakeService) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// ask makes a call and returns the channel of its error.
func ask(g *Gate, ctx context.Context, id string, token int64, d time.Duration) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := g.Ask(ctx, Call{Token: token, Group: cell.GroupID{Submission: id}, Hosts: []string{"h"}, Duration: d})
		done <- err
	}()
	return done
}

func newTestGate() (*Gate, *fakeService) {
	s := newFakeService()
	return NewGate(s, boottime.Clock{}, slog.New(slog.DiscardHandler)), s
}

// Guards against more calls at the service than it takes, and against a call whose place
// is given away when its caller leaves, although the service still handles it.
func TestAbandonedCallKeepsItsPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, s := newTestGate()
	ctx, cancel := context.WithCancel(context.Background())
	var abandoned []chan error
	for range 5 {
		abandoned = append(abandoned, ask(gate, ctx, "abandoned", 1, time.Second))
	}
	g.Eventually(func() int { return len(s.received()) }, "5s").Should(gomega.Equal(maxAtService))
	cancel()
	for _, done := range abandoned {
		g.Eventually(done, "5s").Should(gomega.Receive(gomega.MatchError(context.Canceled)))
	}
	next := ask(gate, context.Background(), "next", 1, time.Second)
	g.Consistently(func() int { return len(s.received()) }, "100ms").Should(gomega.Equal(maxAtService))
	for range maxAtService + 1 {
		s.proceed <- struct{}{}
	}
	g.Eventually(next, "5s").Should(gomega.Receive(gomega.BeNil()))
	g.Expect(s.received()).To(gomega.HaveLen(maxAtService + 1))
	g.Expect(s.most).To(gomega.Equal(maxAtService))
}

// Guards against calls of a former owner that take the turn of its successor's.
func TestCallsOfFormerOwnersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, s := newTestGate()
	ctx := context.Background()
	var former []chan error
	for range maxAtService {
		former = append(former, ask(gate, ctx, "former", 1, time.Second))
	}
	g.Eventually(func() int { return len(s.received()) }, "5s").Should(gomega.Equal(maxAtService))
	waiting := ask(gate, ctx, "waiting", 1, time.Second)
	g.Consistently(waiting, "50ms").ShouldNot(gomega.Receive())
	successor := ask(gate, ctx, "successor", 2, time.Second)
	g.Eventually(waiting, "5s").Should(gomega.Receive(gomega.MatchError(ErrStale)))
	g.Eventually(ask(gate, ctx, "late", 1, time.Second), "5s").Should(gomega.Receive(gomega.MatchError(ErrStale)))
	for range maxAtService + 1 {
		s.proceed <- struct{}{}
	}
	for _, done := range append(former, successor) {
		g.Eventually(done, "5s").Should(gomega.Receive(gomega.BeNil()))
	}
	g.Expect(s.received()).To(gomega.Equal([]string{"former", "former", "successor"}))
}

// Guards against a call that waits until its deadline although it is known that the
// service answers later.
func TestCallThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate, s := newTestGate()
	first := ask(gate, context.Background(), "first", 1, 10*time.Second)
	g.Eventually(s.received, "5s").Should(gomega.HaveLen(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := <-ask(gate, ctx, "second", 1, time.Second)
	var busy *BusyError
	g.Expect(errors.As(err, &busy)).To(gomega.BeTrue(), "%v", err)
	g.Expect(busy.FreeIn).To(gomega.And(gomega.BeNumerically(">", 5*time.Second), gomega.BeNumerically("<=", 10*time.Second)))
	s.proceed <- struct{}{}
	g.Eventually(first, "5s").Should(gomega.Receive(gomega.BeNil()))
	s.proceed <- struct{}{}
	g.Eventually(ask(gate, ctx, "third", 1, time.Second), "5s").Should(gomega.Receive(gomega.BeNil()))
}

// faultyService panics at each call.
type faultyService struct{}

func (faultyService) Ask(context.Context, cell.GroupID, []string) (map[string]string, error) {
	panic("a fault that nobody expected")
}

// Guards against a fault in a call that ends the process, and then those of the nodes at
// which the call is tried again; and against a place at the service that stays taken.
func TestFaultInACallEndsTheCall(t *testing.T) {
	gate := NewGate(faultyService{}, boottime.Clock{}, slog.New(slog.DiscardHandler))
	for range maxAtService + 1 {
		if err := <-ask(gate, t.Context(), "x", 1, time.Second); err == nil || !strings.Contains(err.Error(), "a fault that nobody expected") {
			t.Errorf("the error is %v", err)
		}
	}
}
