package owner

import (
	"log/slog"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a successor that starts tasks twice, since an owner closed a
// host in the log without having seen what an earlier owner runs there.
func TestOnlyKnownHostsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Owner, *hostLoop)
		closes bool
	}{
		{"silent and never seen", func(_ *Owner, h *hostLoop) { h.silent = true }, false},
		{"silent, its runs are known", func(_ *Owner, h *hostLoop) { h.silent, h.adopted = true, true }, true},
		{"every lease there is over", func(_ *Owner, h *hostLoop) { h.silent, h.lapsed = true, true }, true},
		{"all runs of earlier owners are over", func(w *Owner, h *hostLoop) { h.silent, w.settled = true, true }, true},
		{"answers", func(_ *Owner, h *hostLoop) { h.adopted = true }, false},
	} {
		w := New(Options{
			Self: registry.Owner{Token: 2}, Clock: boottime.Clock{}, Log: slog.New(slog.DiscardHandler),
			FormerGone: func() bool { return false },
		})
		h := &hostLoop{host: cell.Host{ID: "h"}, listed: true}
		w.hosts["h"] = h
		c.change(w, h)
		records, _ := w.hostChanges()
		if closes := len(records) == 1; closes != c.closes {
			t.Errorf("%s: closed is %t, want %t", c.name, closes, c.closes)
		}
	}
}
