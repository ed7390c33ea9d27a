package membership

import (
	"net/netip"
	"slices"
)

// maxReplaced bounds the earlier processes that a node lists. Of those before them nothing is
// concluded.
const maxReplaced = 4

// HasReplaced reports whether an earlier process of the node is known to have ended, since the
// process that published n replaced it. Another instance ID in the newest record does not show
// that: a late append of the earlier process may be stored behind those of its successor.
func (n Node) HasReplaced(instanceID string) bool { return slices.Contains(n.Replaced, instanceID) }

// Replacing returns n with the processes of its node that have ended, by a record that n has read
// after it began to listen at its address: those that the other process had replaced, and that
// process itself if it listened at the same address. One at another address may still run.
func (n Node) Replacing(other Node) Node {
	ended := slices.Clone(other.Replaced)
	if n.listensAt(other.Address) {
		ended = append(ended, other.InstanceID)
	}
	n.Replaced = slices.Clone(n.Replaced) // earlier descriptions share it
	for _, id := range ended {
		if id != n.InstanceID && !n.HasReplaced(id) {
			n.Replaced = append(n.Replaced, id)
		}
	}
	n.Replaced = n.Replaced[max(len(n.Replaced)-maxReplaced, 0):]
	return n
}

// listensAt reports whether the process listens at an address that only one process can have at a
// time.
func (n Node) listensAt(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && !a.Addr().IsUnspecified() && address == n.Address
}
