package ganghold

// Event is something that happened outside the coordinator.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// Answered is the answer to a Hold or a Confirm.
type Answered struct {
	Call uint64
	OK   bool
}

// Watched is the answer to a Watch.
type Watched struct {
	Call  uint64
	State State
}

// Failed reports that no answer came to a call; it may have taken effect.
type Failed struct{ Call uint64 }

func (Tick) isEvent()     {}
func (Answered) isEvent() {}
func (Watched) isEvent()  {}
func (Failed) isEvent()   {}
