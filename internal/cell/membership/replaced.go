package membership

import "slices"

// maxReplaced bounds the earlier processes that a node lists. Of those before them nothing is
// concluded.
const maxReplaced = 4

// HasReplaced reports whether an earlier process of the node is known to have ended, since the
// process that published n replaced it. Another instance ID in the newest record does not show
// that: a late append of the earlier process may be stored behind those of its successor.
func (n Node) HasReplaced(instanceID string) bool { return slices.Contains(n.Replaced, instanceID) }

// Replacing returns n as the process that replaces earlier, of which it has read a record after
// its own start, and those that earlier had replaced.
func (n Node) Replacing(earlier Node) Node {
	n.Replaced = slices.Clone(n.Replaced) // earlier descriptions share it
	for _, id := range append(slices.Clone(earlier.Replaced), earlier.InstanceID) {
		if id != n.InstanceID && !n.HasReplaced(id) {
			n.Replaced = append(n.Replaced, id)
		}
	}
	n.Replaced = n.Replaced[max(len(n.Replaced)-maxReplaced, 0):]
	return n
}
