package membership

// Action is an operation that the Tracker asks its caller to perform, or a
// change that it reports.
type Action interface{ isAction() }

// Exchange starts one exchange with a peer. NewConnection requests a new
// connection, because the present one may never answer again.
type Exchange struct {
	To            string
	ID            uint64
	NewConnection bool
}

// StatusChanged reports that the status of a peer has changed.
type StatusChanged struct {
	Node   string
	Status Status
}

func (Exchange) isAction()      {}
func (StatusChanged) isAction() {}
