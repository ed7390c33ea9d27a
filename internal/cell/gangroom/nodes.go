package gangroom

// reserveDivisor sets the part of the nodes that takes no call beyond the first one of each
// gang, so that these wait for no node.
const reserveDivisor = 6

// Nodes are the nodes that make advice calls.
type Nodes struct {
	// Free is how many more long calls can be made now, All the number of nodes.
	Free, All int
}

// spare returns for how many calls there is room beyond the reserve.
func (n Nodes) spare() int { return n.Free - n.All/reserveDivisor }
