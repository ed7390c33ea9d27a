package ownership

import "time"

// Event is something that happened outside the Manager.
type Event interface{ isEvent() }

// ShardToken names a shard and a token over it.
type ShardToken struct {
	Shard string
	Token uint64
}

// Shard is a shard that the host list shows.
type Shard struct {
	Name string
	Zone string
}

// Tick lets time pass. It should come at least every 250 ms.
type Tick struct{}

// ShardsKnown replaces the shards that the host list shows.
type ShardsKnown struct{ Shards []Shard }

// LedgerRead reports the state after records, or an empty page, were read.
// Several records may be merged into one event.
type LedgerRead struct{ State State }

// LogContact reports that the log answered a read.
type LogContact struct{}

// RenewalAccepted reports that the log holds a renewal of this process.
type RenewalAccepted struct {
	// SentAt is when the first attempt at this append left. The time of a
	// repetition is wrong: the first copy may have been appended long before.
	SentAt time.Duration
	Offset uint64
}

// AppendFailed reports that an append failed or that its fate is unknown.
type AppendFailed struct{}

// ReleaseRefused reports that the log certainly holds no release of a token
// by this process and never will, so that the shard can be kept.
type ReleaseRefused struct{ ShardToken }

// ConfirmRequested reports that a peer asks for the confirmation of an outage.
type ConfirmRequested struct {
	ID     uint64
	From   Identity
	Shards []ShardToken
}

// OutageConfirmed reports a peer's confirmation and promise.
type OutageConfirmed struct {
	Round      uint64
	From       string
	Superseded []ShardToken
}

// OutageDenied reports that a peer did not confirm an outage.
type OutageDenied struct {
	Round      uint64
	From       string
	Superseded []ShardToken
}

// AckRequested reports that a peer asks for the acknowledgement of its claim.
type AckRequested struct {
	ID   uint64
	From string
	ShardToken
}

// ClaimAcknowledged reports that a peer acknowledged a claim of this process.
type ClaimAcknowledged struct {
	From string
	ShardToken
}

// HandedOver reports that the dispatcher has stopped sending commands for a
// shard and that none is outstanding.
type HandedOver struct{ ShardToken }

// PeersDraining replaces the names of the nodes that are about to leave.
type PeersDraining struct{ Nodes []string }

// Drain starts the planned leave: all shards are handed over one by one.
type Drain struct{}

func (Tick) isEvent()              {}
func (ShardsKnown) isEvent()       {}
func (LedgerRead) isEvent()        {}
func (LogContact) isEvent()        {}
func (RenewalAccepted) isEvent()   {}
func (AppendFailed) isEvent()      {}
func (ReleaseRefused) isEvent()    {}
func (ConfirmRequested) isEvent()  {}
func (OutageConfirmed) isEvent()   {}
func (OutageDenied) isEvent()      {}
func (AckRequested) isEvent()      {}
func (ClaimAcknowledged) isEvent() {}
func (HandedOver) isEvent()        {}
func (PeersDraining) isEvent()     {}
func (Drain) isEvent()             {}
