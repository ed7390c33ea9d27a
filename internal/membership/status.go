package membership

// Status is the failure detector's assessment of a peer.
type Status uint8

const (
	// Alive means that the peer has answered recently.
	Alive Status = iota
	// Suspect means that the peer has missed answers; the next exchange uses a
	// new connection.
	Suspect
	// Unreachable means that the peer has not answered for
	// unreachableAfterCycles.
	Unreachable
)

// String returns the name of s.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "unreachable"
	}
}
