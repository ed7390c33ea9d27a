package owner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a stored submission that ends the process of each node that becomes the
// owner.
func TestOwnerLoadsStateWithOddRecords(t *testing.T) {
	reg := registry.New(slog.New(slog.DiscardHandler))
	for i, text := range []string{
		`{"id":"s0","team":"t","queue":{"name":"q"},"steps":[{"count":1,"after":[7]}]}`,
		`{"id":"s1","team":"t","queue":{"name":"q"},"steps":[{"count":1}],"occurrences":-9}`,
		`{"id":"s2","team":"t","queue":{"name":"q"},"steps":[{"count":1}]}`,
	} {
		reg.Apply(platform.Record{Key: "s/s" + string(rune('0'+i)), Offset: uint64(i), Value: []byte(text)})
	}
	reg.Apply(platform.Record{Key: "p/s2", Offset: 9, Value: []byte(`{"state":77}`)})
	ow := New(Options{
		Self: registry.Ownership{Token: 2}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
		Desired: func() *cell.Desired { return nil }, EarlierOwnersGone: func() bool { return false }, Stored: reg.All,
	})
	ow.load()
	if ow.Explain("s2") == nil {
		t.Error("the ordinary submission is lost")
	}
}
