package logclient

// Priority is the order in which queued records are put into batches.
type Priority int

const (
	// Immediate records are appended without delay, even if the append rate is
	// exceeded.
	Immediate Priority = iota
	// Normal records wait for the batch delay of their kind, so that other
	// records can join the batch.
	Normal
	// Background records have no delay of their own and are put into a batch after
	// all others.
	Background
)
