package membership

import (
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Event is something that happened outside the Tracker.
type Event interface{ isEvent() }

// Peer is another member as the log shows it.
type Peer struct {
	Node        string
	Incarnation uint64
}

// Tick lets time pass. It should come at least every 250 ms.
type Tick struct{}

// PeersKnown replaces the other members.
type PeersKnown struct{ Peers []Peer }

// Answered reports the answer to an Exchange action.
type Answered struct {
	To       string
	ID       uint64
	Response *peerv1.ExchangeResponse
}

// Failed reports that an Exchange action failed or timed out.
type Failed struct {
	To string
	ID uint64
}

// Asked reports an exchange that a peer started.
type Asked struct{ Request *peerv1.ExchangeRequest }

// LogRead reports that the log answered a read up to its end.
type LogRead struct{ ReadOffset, Revision uint64 }

// OutageConfirmed reports that a majority has confirmed an outage of the log,
// in which nothing newer than the last configuration can have been accepted.
type OutageConfirmed struct{ Until time.Duration }

func (Tick) isEvent()            {}
func (PeersKnown) isEvent()      {}
func (Answered) isEvent()        {}
func (Failed) isEvent()          {}
func (Asked) isEvent()           {}
func (LogRead) isEvent()         {}
func (OutageConfirmed) isEvent() {}
