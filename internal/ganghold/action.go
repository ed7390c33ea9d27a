package ganghold

import "time"

// Action is something that the coordinator wants sent.
type Action interface{ isAction() }

// Hold asks the owner of a shard to hold room for the part. The owner counts
// For from the receipt.
type Hold struct {
	Call  uint64
	Shard string
	Hold  string
	For   time.Duration
}

// Release gives a hold back. Nobody waits for the answer.
type Release struct {
	Shard string
	Hold  string
}

// Confirm lets the tasks of a hold start.
type Confirm struct {
	Call  uint64
	Shard string
	Hold  string
}

// Watch asks for the state of a part.
type Watch struct {
	Call  uint64
	Shard string
	Mode  Mode
}

func (Hold) isAction()    {}
func (Release) isAction() {}
func (Confirm) isAction() {}
func (Watch) isAction()   {}
