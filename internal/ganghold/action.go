package ganghold

import "time"

// Action is a message that the coordinator wants to be sent. Call numbers the
// actions that expect an answer; the answering Event carries the same number.
type Action interface{ isAction() }

// Hold asks the owner of a shard to reserve capacity for its part of the gang. The
// reservation is identified by HoldID and expires Validity after the owner
// received the request.
type Hold struct {
	Call     uint64
	Shard    string
	HoldID   string
	Validity time.Duration
}

// Release releases a hold. No answer is expected.
type Release struct {
	Shard  string
	HoldID string
}

// Confirm starts the tasks of a hold.
type Confirm struct {
	Call   uint64
	Shard  string
	HoldID string
}

// Watch asks the owner of a part for its state and sends it Mode.
type Watch struct {
	Call  uint64
	Shard string
	Mode  Mode
}

func (Hold) isAction()    {}
func (Release) isAction() {}
func (Confirm) isAction() {}
func (Watch) isAction()   {}
