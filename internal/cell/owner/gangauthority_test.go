package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a gang member that times out alone on its host: the authority of an owner
// whose appends are slow ends after some of the members have been started, and it may neither
// start the others nor stop these.
func TestGangIsNotStartedAtTheEndOfTheAuthority(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	step := cell.Step{Count: 3, Gang: true, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: time.Second}
	h.Submitted(registry.Entry{Submission: &cell.Submission{ID: "gang", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{step}}})
	starts := func() int {
		h.client.started = nil
		h.decide(h.t.Context())
		h.goroutines.Wait()
		return len(h.client.started)
	}
	sentAt := h.clock.now
	h.authority.extend(sentAt)
	h.clock.now = sentAt + AuthorityDuration - minGangAuthority + 10*time.Millisecond
	if n := starts(); n != 0 {
		t.Errorf("%d members of the gang are started with %s of authority left", n, minGangAuthority)
	}
	h.authority.extend(h.clock.now) // the next append was accepted
	if n := starts(); n != 3 {
		t.Errorf("%d members of the gang are started with the whole authority left, want 3", n)
	}
}
