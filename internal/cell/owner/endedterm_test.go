package owner

import (
	"context"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a process that ends, or polls on, since a host list that was read before the end
// of a term is passed to the owner while it waits for its goroutines.
func TestNoHostIsAddedAfterTheTerm(t *testing.T) {
	h := newHostTest(t)
	h.options.Journal = &fakeJournal{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h.Run(ctx)
	spec := testHost("h", "a")
	h.SetHosts(t.Context(), map[string]registry.Host{"h": {Spec: spec}}, nil)
	if h.poller("h") != nil {
		h.poller("h").cancel()
		h.goroutines.Wait()
		t.Error("a host is polled after the term")
	}
}
