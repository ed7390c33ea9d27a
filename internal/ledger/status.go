package ledger

// Status is a summary of the state for dumps and metrics.
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
	// SnapshotOffset is the next offset after the last complete snapshot in
	// the log, or zero.
	SnapshotOffset uint64 `json:"snapshot_offset"`
}
