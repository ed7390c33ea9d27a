package owner

import (
	"log/slog"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a successor that starts tasks twice: an owner recorded a host
// as closed to new runs before it had seen the runs of an earlier owner there,
// so the record lacked them.
func TestOnlyHostsWithKnownRunsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Owner, *hostPoller)
		closes bool
	}{
		{"unreachable, its runs are unknown", func(_ *Owner, h *hostPoller) { h.unreachable = true }, false},
		{"unreachable, its runs are known", func(_ *Owner, h *hostPoller) { h.unreachable, h.runsKnown = true, true }, true},
		{"all leases there have expired", func(_ *Owner, h *hostPoller) { h.unreachable, h.allRunsGone = true, true }, true},
		{"all runs of earlier owners have ended", func(w *Owner, h *hostPoller) { h.unreachable = true; w.reconciled.Store(true) }, true},
		{"reachable", func(_ *Owner, h *hostPoller) { h.runsKnown = true }, false},
	} {
		w := New(Options{
			Self: registry.Ownership{Token: 2}, Clock: boottime.Clock{}, Log: slog.New(slog.DiscardHandler),
			EarlierOwnersGone: func() bool { return false },
		})
		h := &hostPoller{host: cell.Host{ID: "h"}, listed: cell.Host{ID: "h"}, inHostList: true, stored: true}
		w.hosts["h"] = h
		c.change(w, h)
		records, _ := w.hostRecords()
		if closes := len(records) == 1; closes != c.closes {
			t.Errorf("%s: closed is %t, want %t", c.name, closes, c.closes)
		}
	}
}
