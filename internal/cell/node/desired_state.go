package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// desiredMargin is how long before its bounds a desired state counts as out of
	// date, or half of the shorter bound if that is less. It allows for clocks that
	// run at different rates.
	desiredMargin = 200 * time.Millisecond
	// maxDesiredRefreshAge is the greatest age from which the desired state is read
	// again before a call is answered.
	maxDesiredRefreshAge = 1200 * time.Millisecond
	// desiredRefreshTimeout is the timeout of a read of the desired state before a call
	// is answered.
	desiredRefreshTimeout = 400 * time.Millisecond
)

// applyDesired applies records of the desired state and of evacuations, which operators
// write.
func (n *Node) applyDesired(p worklog.Page) {
	n.evacuations.apply(p)
	p.ForEach(n.log, func(r platform.Record) {
		if r.Key == platform.KeyDesired {
			n.applyDesiredRecord(r.Value, "store")
		}
	})
}

// applyDesiredRecord applies a desired state, unless the same or a newer version
// has been applied already. from names the source of the record for the log.
func (n *Node) applyDesiredRecord(record []byte, from string) {
	d, err := platform.DecodeDesired(record)
	if err != nil {
		n.log.Error("node: A desired state cannot be decoded and is ignored.", "from", from, "error", err)
		return
	}
	for {
		old := n.desired.Load()
		if old != nil && d.Version <= old.Version {
			return
		}
		if n.desired.CompareAndSwap(old, &appliedDesired{d, record}) {
			break
		}
	}
	n.log.Info("node: A new desired state was applied.", "version", d.Version, "from", from, "age", n.DesiredAge(), "queues", len(d.Queues), "teams", len(d.Teams))
}

// appliedDesired is a decoded desired state with the record that it came from.
type appliedDesired struct {
	*cell.Desired
	record []byte
}

// Desired implements front.State.
func (n *Node) Desired() (d *cell.Desired, fresh bool) {
	asOf, ok := n.desiredReader.AsOf()
	age := n.clock.Now() - asOf
	current := n.desired.Load()
	if current == nil {
		return nil, false
	}
	return current.Desired, ok && age < maxDesiredAge(n.settings.Bounds)
}

// DesiredAge implements front.State.
func (n *Node) DesiredAge() time.Duration {
	asOf, _ := n.desiredReader.AsOf()
	return n.clock.Now() - asOf
}

// Refresh implements front.State. The state is read again from the age
// desiredRefreshAge on.
func (n *Node) Refresh(ctx context.Context) {
	asOf, ok := n.desiredReader.AsOf()
	if !ok || n.clock.Now()-asOf < desiredRefreshAge(n.settings.Bounds) {
		return
	}
	n.readDesired(ctx)
}

// readDesired reads the desired state again, for at most desiredRefreshTimeout.
// A failure is only logged: the age of the state determines whether it may be
// used.
func (n *Node) readDesired(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, desiredRefreshTimeout)
	defer cancel()
	if err := n.desiredReader.CatchUp(ctx); err != nil {
		n.log.Debug("node: The desired state could not be refreshed.", "error", err)
	}
}

// hasDesiredVersion reports whether this node has applied the given version of the
// desired state or a newer one. It reads the topic again if the forwarding
// node has a newer version.
func (n *Node) hasDesiredVersion(ctx context.Context, version int64) bool {
	if d := n.desired.Load(); d != nil && d.Version >= version {
		return true
	}
	n.readDesired(ctx)
	d := n.desired.Load()
	return d != nil && d.Version >= version
}

// appliedDesired returns the desired state that is applied, nil before the first one.
func (n *Node) appliedDesired() *cell.Desired {
	if d := n.desired.Load(); d != nil {
		return d.Desired
	}
	return nil
}

// maxDesiredAge returns the age up to which calls are decided on a desired state. A
// call that was sent before it is decided then meets every version that was confirmed
// ConfigApplyMs before the call, and no key that was withdrawn RevokeMs before it.
func maxDesiredAge(b config.Bounds) time.Duration {
	bound := config.Millis(min(b.ConfigApplyMs, b.RevokeMs))
	return max(bound-desiredMargin, bound/2)
}

// desiredRefreshAge returns the age from which the desired state is read again before
// a call is answered.
func desiredRefreshAge(b config.Bounds) time.Duration {
	return min(maxDesiredRefreshAge, maxDesiredAge(b)*2/3)
}
