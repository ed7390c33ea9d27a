package registry

import "github.com/medlarpulley/medlarpulley/internal/cell"

// Entry is the stored state of one submission.
type Entry struct {
	// Submission is nil until its record has been read.
	Submission *cell.Submission
	Progress   cell.Progress
	Cancelled  bool
	// Offset is the log offset of the submission's record.
	Offset uint64

	progressOffset uint64
}

// State returns the state that callers see.
func (e *Entry) State() cell.State {
	if e.Cancelled && !e.Progress.State.Final() {
		return cell.Cancelled
	}
	return e.Progress.State
}
