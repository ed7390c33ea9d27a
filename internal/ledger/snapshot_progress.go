package ledger

import ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"

// snapshotProgress tracks the snapshot chunks in the log, so that all nodes know
// how old the last complete snapshot is. It tracks one snapshot at a time, because
// a single node writes the snapshots, one after the other.
type snapshotProgress struct {
	// NextOffset is the offset of the first record that the last complete
	// snapshot does not cover, or zero if there is none.
	NextOffset uint64 `json:"covers"`
	// ID is the id of the snapshot that is being written, and NextIndex the index
	// of its next chunk.
	ID        string `json:"id"`
	NextIndex int32  `json:"next"`
}

func (s *State) applySnapshotChunk(events []Event, o Origin, r *ledgerv1.SnapshotChunk) []Event {
	p := &s.SnapshotProgress
	if !isValidName(r.Id) || r.Index < 0 || r.Index >= r.Total || r.Offset > o.Offset {
		return append(events, Malformed{o, "snapshot chunk without an id, or out of range"})
	}
	if r.Index == 0 {
		p.ID, p.NextIndex = r.Id, 0
	}
	if r.Id != p.ID || r.Index != p.NextIndex {
		return append(events, RecordIgnored{o, "snapshot-chunk", r.Id, "out of order"})
	}
	p.NextIndex++
	if p.NextIndex < r.Total {
		return events
	}
	p.ID, p.NextIndex = "", 0
	p.NextOffset = max(p.NextOffset, r.Offset)
	return append(events, SnapshotRecorded{o, r.Id, r.Offset})
}
