package ledger

import ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"

// snapshotProgress follows the chunks in the log, so that all nodes know how
// old the last complete snapshot is. Only one snapshot is followed at a time,
// since one node writes them, in order.
type snapshotProgress struct {
	// Covers is the next offset after the last complete snapshot.
	Covers uint64 `json:"covers"`
	// ID is the snapshot being written and Next its next chunk.
	ID   string `json:"id"`
	Next int32  `json:"next"`
}

func (s *State) chunk(events []Event, o Origin, r *ledgerv1.SnapshotChunk) []Event {
	p := &s.Snapshots
	if !validName(r.Id) || r.Index < 0 || r.Index >= r.Total || r.Offset > o.Offset {
		return append(events, Malformed{o, "snapshot chunk without an id, or out of range"})
	}
	if r.Index == 0 {
		p.ID, p.Next = r.Id, 0
	}
	if r.Id != p.ID || r.Index != p.Next {
		return append(events, RecordIgnored{o, "snapshot-chunk", r.Id, "out of order"})
	}
	p.Next++
	if p.Next < r.Total {
		return events
	}
	p.ID, p.Next = "", 0
	p.Covers = max(p.Covers, r.Offset)
	return append(events, SnapshotRecorded{o, r.Id, r.Offset})
}
