package ownership

// Identity is one process. A restarted node has the same name and a higher
// incarnation, and holds none of the tokens of the earlier one.
type Identity struct {
	Node        string
	Incarnation uint64
}
