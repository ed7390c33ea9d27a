package membership

import (
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// View is what is known about one peer.
type View struct {
	Peer
	Status Status
	// Heard tells whether this incarnation ever answered; HeardAt is when the
	// request of its last answer was sent.
	Heard      bool
	HeardAt    time.Duration
	ReadOffset uint64
	Revision   uint64
	Draining   bool
	// LogReachable and LogAge are as of HeardAt.
	LogReachable bool
	LogAge       time.Duration
	// PublicationOpen is true if the peer knew of a publication whose fate it
	// had not read.
	PublicationOpen bool
	// Shards is the last summary, at most maxShards entries.
	Shards []*peerv1.ShardSummary
}

// peer is a View with what is needed to ask.
type peer struct {
	View
	since    time.Duration
	failures int
	pending  uint64
	sentAt   time.Duration
}
