package ganghold

// Event is an input of the coordinator: an answer, a failed call or a tick.
type Event interface{ isEvent() }

// Tick reports the current time, so that timeouts and polls that are due are
// handled.
type Tick struct{}

// Answered is the answer to a Hold or a Confirm. OK is set if the hold was granted
// or its tasks were started.
type Answered struct {
	Call uint64
	OK   bool
}

// Watched is the answer to a Watch.
type Watched struct {
	Call  uint64
	State State
}

// Failed reports a call without an answer. The call may have taken effect.
type Failed struct{ Call uint64 }

func (Tick) isEvent()     {}
func (Answered) isEvent() {}
func (Watched) isEvent()  {}
func (Failed) isEvent()   {}
