package ledger

// Status is a summary of the state for diagnostic dumps and metrics.
type Status struct {
	NextOffset   uint64 `json:"next_offset"`
	Revision     uint64 `json:"revision"`
	Objects      int    `json:"objects"`
	Members      int    `json:"members"`
	Joins        uint64 `json:"joins"`
	Shards       int    `json:"shards"`
	Limits       int    `json:"limits"`
	OpenJobs     int    `json:"open_jobs"`
	FinishedJobs int    `json:"finished_jobs"`
	// SnapshotOffset is the offset of the first record that the last complete
	// snapshot in the log does not cover, or zero if there is none.
	SnapshotOffset uint64 `json:"snapshot_offset"`
}
