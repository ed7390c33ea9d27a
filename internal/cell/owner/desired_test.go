package owner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against an owner that decides on an older desired state than the one that
// its process has applied.
func TestEachDecisionUsesTheAppliedDesiredState(t *testing.T) {
	applied := &cell.Desired{Version: 1}
	w := New(Options{
		Self: registry.Ownership{Token: 1}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 },
		Log: slog.New(slog.DiscardHandler), Desired: func() *cell.Desired { return applied },
		ClaimSent: boottime.Clock{}.Now(), EarlierOwnersGone: func() bool { return true }, Stored: func() []registry.Entry { return nil },
	})
	w.load()
	if w.desired.Version != 1 {
		t.Errorf("version %d is used after the load, want 1", w.desired.Version)
	}
	for version := int64(2); version <= 4; version++ {
		applied = &cell.Desired{Version: version}
		w.decide(t.Context())
		if w.desired.Version != version {
			t.Errorf("version %d is used, want %d", w.desired.Version, version)
		}
	}
}
