package ownership

// Identity identifies one process. A restarted node has the same name and a
// higher incarnation, and holds none of the tokens of the earlier incarnation.
type Identity struct {
	Node        string
	Incarnation uint64
}
