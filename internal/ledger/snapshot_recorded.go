package ledger

// SnapshotRecorded reports that every chunk of a snapshot is in the log.
type SnapshotRecorded struct {
	Origin
	ID string
	// Covers is the next offset after the snapshot.
	Covers uint64
}
