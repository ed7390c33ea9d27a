package membership

import (
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// View is the known state of one peer.
type View struct {
	Peer
	Status Status
	// HasAnswered reports whether this incarnation has ever answered;
	// AnsweredRequestSentAt is the time at which this node sent the request of the
	// last answer.
	HasAnswered           bool
	AnsweredRequestSentAt time.Duration
	ReadOffset            uint64
	Revision              uint64
	Draining              bool
	// LogReachable reports whether the peer can reach the log, LogContactAge
	// the time since its last contact with the log. Both are as of
	// AnsweredRequestSentAt.
	LogReachable  bool
	LogContactAge time.Duration
	// PublicationOpen is true if the peer knew of a publication whose result it
	// had not yet read from the log.
	PublicationOpen bool
	// Shards are the last shard summaries, at most maxShardSummaries.
	Shards []*peerv1.ShardSummary
}

// peer is a View with the state of its exchanges. pendingID is zero if no
// exchange is outstanding.
type peer struct {
	View
	trackedSince time.Duration
	failures     int
	pendingID    uint64
	sentAt       time.Duration
}
