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
			w.poll(t.Context(), w.hosts["h"])
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
