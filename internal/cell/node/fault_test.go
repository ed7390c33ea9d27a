package node

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a host list at which the code that applies it fails, and that ends the
// process of each owner; and against an owner that goes on with half of the list.
func TestFaultAtHostListEndsTheTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	standin := users.NewStore()
	defer standin.Close()
	n := newUnconnectedNode(t)
	n.store = platform.NewStore(standin.Address())
	o := owner.New(owner.Options{
		Self: registry.Ownership{Token: 1}, Clock: n.clock, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
		Desired: func() *cell.Desired { return nil }, EarlierOwnersGone: func() bool { return true }, ClaimSent: n.clock.Now(),
	})
	g.Expect(o.Acts()).To(gomega.BeTrue())
	faulty := &term{owner: o} // without its maps, to which applyHosts writes
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.followHosts(ctx, faulty); close(done) }()
	standin.Put(platform.TopicHosts, "i-1", fmt.Appendf(nil, ordinaryEntry, 1))
	g.Eventually(o.OwnershipLost(), "5s").Should(gomega.BeClosed())
	g.Expect(o.Acts()).To(gomega.BeFalse())
	cancel()
	<-done
}
