package ownership

import "testing"

// Guards against a takeover that waits for acknowledgements that no node can
// give, and against a takeover while the earlier holder can still find a quorum.
func TestAcksPreventQuorum(t *testing.T) {
	for _, c := range []struct{ configured, set, acks int }{
		{2, 1, 0}, {2, 2, 1}, {3, 3, 2}, {8, 3, 0}, {8, 4, 0}, {8, 5, 1}, {8, 8, 4}, {3, 9, 5},
	} {
		if !acksPreventQuorum(c.configured, c.set, c.acks) {
			t.Errorf("%+v: acknowledgements are not sufficient", c)
		}
		// The holder and the members that have not acknowledged must be fewer
		// than the quorum.
		if c.set-c.acks >= Quorum(c.configured, c.set) || c.acks > 0 && acksPreventQuorum(c.configured, c.set, c.acks-1) {
			t.Errorf("%+v: too few acknowledgements are sufficient", c)
		}
	}
	if acksPreventQuorum(1, 1, 0) {
		t.Error("a single node needs no confirmation, so its authority ends only with its process")
	}
}
