package ownership

import "time"

// Event is an input of the Manager.
type Event interface{ isEvent() }

// ShardToken is a shard with the fencing token of one claim to it.
type ShardToken struct {
	Shard string
	Token uint64
}

// Shard is a shard that the host list contains.
type Shard struct {
	Name string
	Zone string
}

// Tick reports the current time. It should be sent at least every 250 ms.
type Tick struct{}

// ShardsChanged replaces the set of shards that the host list contains.
type ShardsChanged struct{ Shards []Shard }

// LedgerRead reports the state after records, or an empty page, were read from
// the log. One event may cover several records.
type LedgerRead struct{ State State }

// LogContact reports that the log answered a read.
type LogContact struct{}

// RenewalAccepted reports that the log contains a renewal of this process.
type RenewalAccepted struct {
	// SentAt is when the first attempt at this append was sent. The time of a
	// retry must not be used: the first attempt may have been appended long
	// before.
	SentAt time.Duration
	Offset uint64
}

// AppendFailed reports that an append failed or that its result is unknown.
type AppendFailed struct{}

// ReleaseRefused reports that the log does not contain a release of a token by
// this process and never will, so that the shard can be kept.
type ReleaseRefused struct{ ShardToken }

// ConfirmRequested reports that a peer asks this node to confirm an outage of
// the log. The Manager answers with a ConfirmReply of the same ID.
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

// AckRequested reports that a peer asks this node to acknowledge its claim. The
// Manager answers with an AckReply of the same ID.
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

// ShardQuiesced reports that the dispatcher has stopped sending commands for a
// shard and that no command is outstanding.
type ShardQuiesced struct{ ShardToken }

// QuiesceFailed reports that commands were still outstanding after the longest
// time for a QuiesceShard, and that the dispatcher sends commands again.
type QuiesceFailed struct{ ShardToken }

// PeersDraining replaces the names of the nodes that are about to leave.
type PeersDraining struct{ Nodes []string }

// Drain starts a planned leave: all shards are transferred to other members, one
// at a time.
type Drain struct{}

func (Tick) isEvent()              {}
func (ShardsChanged) isEvent()     {}
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
func (ShardQuiesced) isEvent()     {}
func (QuiesceFailed) isEvent()     {}
func (PeersDraining) isEvent()     {}
func (Drain) isEvent()             {}
