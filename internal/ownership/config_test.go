package ownership

import "testing"

// Guards against a takeover that waits for acknowledgements that nobody can
// give, and against one while the earlier holder can still find a quorum.
func TestEnoughAcks(t *testing.T) {
	for _, c := range []struct{ configured, set, acks int }{
		{2, 1, 0}, {2, 2, 1}, {3, 3, 2}, {8, 3, 0}, {8, 4, 0}, {8, 5, 1}, {8, 8, 4}, {3, 9, 5},
	} {
		if !enoughAcks(c.configured, c.set, c.acks) {
			t.Errorf("%+v: not enough", c)
		}
		// The holder and everyone who has not acknowledged must miss the quorum.
		if c.set-c.acks >= Quorum(c.configured, c.set) || c.acks > 0 && enoughAcks(c.configured, c.set, c.acks-1) {
			t.Errorf("%+v: fewer acknowledgements are taken", c)
		}
	}
	if enoughAcks(1, 1, 0) {
		t.Error("a single node needs no confirmation, so its authority ends only with its process")
	}
}
