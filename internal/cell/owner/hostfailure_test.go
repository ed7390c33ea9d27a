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
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// failingHostClient answers the first poll and fails every later one.
type failingHostClient struct {
	HostClient
	polls int
	err   error
}

func (r *failingHostClient) Poll(context.Context, *cell.Host, platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	r.polls++
	if r.polls == 1 {
		return cell.HostReport{StartedMs: 1}, 0, platform.NotRefused, nil
	}
	return cell.HostReport{}, 0, platform.NotRefused, r.err
}

// Guards against a crash of a host that is not noticed, that is counted for each failed
// poll, or that is taken from a host that is only silent.
func TestCrashOfHostIsNoticedOnce(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int64
	}{{fmt.Errorf("poll: %w", syscall.ECONNREFUSED), 1}, {fmt.Errorf("poll: %w", syscall.ECONNRESET), 1}, {errors.New("no answer"), 0}} {
		g := gomega.NewWithT(t)
		scope := tally.NewTestScope("", nil)
		client := &failingHostClient{err: c.err}
		w := New(Options{
			Self: registry.Ownership{Token: 1}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
			Metrics: scope, HostClient: client, Desired: func() *cell.Desired { return nil }, ClaimSent: boottime.Clock{}.Now(),
			EarlierOwnersGone: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel() // the poll loop of SetHosts ends at once; polls are made here
		spec := cell.Host{ID: "h"}
		w.SetHosts(ctx, map[string]registry.Host{"h": {Spec: spec}}, []cell.Host{spec})
		w.goroutines.Wait()
		for range 4 {
			w.poll(t.Context(), w.hosts["h"], w.options.Clock.Now())
		}
		lost := int64(0)
		for _, counter := range scope.Snapshot().Counters() {
			if counter.Name() == "host_connections_lost" {
				lost = counter.Value()
			}
		}
		g.Expect(lost).To(gomega.Equal(c.want), c.err.Error())
	}
}

// Guards against a cut with resets that counts as a crash of the host once its leases have
// expired, and against a restart that counts for nothing since they had expired before.
func TestOnlyARestartConfirmsACrash(t *testing.T) {
	for _, c := range []struct {
		name                   string
		answer                 hostAnswer
		unconfirmed, confirmed int
	}{
		{"the host stays away", refusesConnections, 1, 0},
		{"the same instance answers", answersAs(10), 0, 0},
		{"a later instance answers", answersAs(20), 0, 1},
		{"an instance with another ID answers", isAnotherInstance, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := usedAt(t, "a")
			h.client.answers["a"] = refusesConnections
			for range 4 {
				h.clock.now += 2 * time.Second
				h.pollOnce("h")
			}
			if !h.poller("h").allRunsGone {
				t.Fatal("the leases count as valid after 8 s without a renewal")
			}
			h.client.answers["a"] = c.answer
			h.pollOnce("h")
			p, _ := h.scheduler.Progress("first")
			g := p.Groups["first.0.0"]
			if unconfirmed, confirmed := len(g.UnconfirmedCrashes[0]), len(g.Crashes[0]); unconfirmed != c.unconfirmed || confirmed != c.confirmed {
				t.Errorf("%d unconfirmed crashes and %d confirmed ones are stored, want %d and %d", unconfirmed, confirmed, c.unconfirmed, c.confirmed)
			}
			if p.State != cell.Active {
				t.Errorf("the submission is %s", p.State)
			}
		})
	}
}
