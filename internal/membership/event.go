package membership

import (
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Event is an input of the Tracker.
type Event interface{ isEvent() }

// Peer identifies another member that has joined according to the log.
type Peer struct {
	Node        string
	Incarnation uint64
}

// Tick reports the current time. It should be sent at least every 250 ms.
type Tick struct{}

// PeersChanged replaces the set of tracked peers.
type PeersChanged struct{ Peers []Peer }

// ExchangeAnswered reports a peer's answer to an Exchange action.
type ExchangeAnswered struct {
	To       string
	ID       uint64
	Response *peerv1.ExchangeResponse
}

// ExchangeFailed reports that an Exchange action failed or timed out.
type ExchangeFailed struct {
	To string
	ID uint64
}

// RequestReceived reports the request of an exchange that a peer started.
type RequestReceived struct{ Request *peerv1.ExchangeRequest }

// LogRead reports that a read of the log has reached its end.
type LogRead struct{ ReadOffset, Revision uint64 }

// OutageConfirmed reports that a majority has confirmed an outage of the log.
// No configuration newer than the last one can have been accepted before Until.
type OutageConfirmed struct{ Until time.Duration }

func (Tick) isEvent()             {}
func (PeersChanged) isEvent()     {}
func (ExchangeAnswered) isEvent() {}
func (ExchangeFailed) isEvent()   {}
func (RequestReceived) isEvent()  {}
func (LogRead) isEvent()          {}
func (OutageConfirmed) isEvent()  {}
