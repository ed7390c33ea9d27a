package logclient

// Priority orders the records that wait to be appended.
type Priority int

const (
	// Immediate records are sent without delay and without regard to the
	// append rate.
	Immediate Priority = iota
	// Normal records wait for the delay of their kind, so that others can
	// join the batch.
	Normal
	// Background records go last.
	Background
)
