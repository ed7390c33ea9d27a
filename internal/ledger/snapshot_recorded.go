package ledger

// SnapshotRecorded reports that all chunks of a snapshot are in the log.
type SnapshotRecorded struct {
	Origin
	ID string
	// NextOffset is the offset of the first record that the snapshot does not
	// cover.
	NextOffset uint64
}
