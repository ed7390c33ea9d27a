package membership

// Status is what this node believes about a peer.
type Status uint8

const (
	// Alive means that the peer has answered lately.
	Alive Status = iota
	// Suspect means that answers are missing; the peer is asked over a fresh
	// connection.
	Suspect
	// Unreachable means that answers have been missing for long.
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
