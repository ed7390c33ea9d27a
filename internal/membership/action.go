package membership

// Action is something that the Tracker wants done.
type Action interface{ isAction() }

// Exchange asks for one exchange with a peer. Fresh asks for a new connection,
// because the present one may be silent for good.
type Exchange struct {
	To    string
	ID    uint64
	Fresh bool
}

// StatusChanged reports a new belief about a peer.
type StatusChanged struct {
	Node   string
	Status Status
}

func (Exchange) isAction()      {}
func (StatusChanged) isAction() {}
