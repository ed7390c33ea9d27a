package owner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

// pollAnswer is what a scripted poll returns.
type pollAnswer struct {
	refusal platform.Refusal
	err     error
	// after is how long the poll takes.
	after time.Duration
}

// scriptedHostClient gives one answer after the other to polls.
type scriptedHostClient struct {
	HostClient
	answers []pollAnswer
}

func (c *scriptedHostClient) Poll(context.Context, *cell.Host, platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	a := c.answers[0]
	c.answers = c.answers[1:]
	time.Sleep(a.after)
	return cell.HostReport{StartedMs: 1}, 0, a.refusal, a.err
}

// Guards against sound work that is suspected of crashing a host which was cut off before
// its process was found to be gone: the order to start it there had no answer, and
// counted as a start right before the crash.
func TestOrderWithoutAnswerOnSilentHostIsNoEvidence(t *testing.T) {
	answered, restarted := pollAnswer{}, pollAnswer{refusal: platform.RefusedHostRestarted}
	silent := pollAnswer{err: errors.New("no answer")}
	reset := pollAnswer{err: fmt.Errorf("poll: %w", syscall.ECONNRESET)}
	for name, c := range map[string]struct {
		answers []pollAnswer
		// closed is set if the host is taken over as closed, with the run recorded.
		closed bool
		want   int
	}{
		"cut off, then another instance":                       {answers: []pollAnswer{answered, silent, silent, restarted}},
		"cut off, then reset, then another one":                {answers: []pollAnswer{answered, silent, reset, restarted}},
		"reset long after an answer was due, then another one": {answers: []pollAnswer{answered, {err: reset.err, after: pollHoldTimeout + 2*answerMargin}, restarted}},
		"taken over while cut off, then another instance":      {answers: []pollAnswer{silent, restarted}, closed: true},
		"taken over and at once found as another instance":     {answers: []pollAnswer{restarted}, closed: true},
		"connections broke while in touch, then another one":   {answers: []pollAnswer{answered, reset, silent, restarted}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ow := New(Options{
				Self: registry.Ownership{Token: 1}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
				HostClient: &scriptedHostClient{answers: c.answers}, Desired: func() *cell.Desired { return nil }, ClaimSent: boottime.Clock{}.Now(),
				EarlierOwnersGone: func() bool { return true },
			})
			ctx, cancel := context.WithCancel(t.Context())
			cancel() // the poll loop of SetHosts ends at once; polls are made here
			size := resource.Vector{MilliCPU: 1000}
			now := ow.options.Clock.Now()
			ow.scheduler.Add(&cell.Submission{ID: "sound", Queue: cell.Queue{Service: "s"}, Steps: []cell.Step{{Count: 1, Size: size}}}, cell.Progress{}, false, now, now)
			stored := registry.Host{Spec: cell.Host{ID: "h", Service: "s", Capacity: size}, Closed: c.closed}
			if c.closed {
				stored.Runs = []registry.Run{{Task: cell.TaskID{Submission: "sound"}, Run: 1}}
			}
			ow.SetHosts(ctx, map[string]registry.Host{"h": stored}, []cell.Host{stored.Spec})
			ow.goroutines.Wait()
			for i := range c.answers {
				ow.poll(t.Context(), ow.hosts["h"], ow.options.Clock.Now())
				if i == 0 {
					for _, o := range ow.scheduler.Decide(now, now).Starts {
						ow.scheduler.Unanswered(o.Host, o.Task, o.Run, now)
					}
				}
			}
			g.Expect(ow.scheduler.Dump().Suspected).To(gomega.Equal(c.want))
		})
	}
}
