package registry

import (
	"maps"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Entry is the stored state of one submission.
type Entry struct {
	// Submission is nil until its record has been read.
	Submission *cell.Submission
	Progress   cell.Progress
	// Cancelled is set if the record of its cancellation or a tombstone is stored.
	Cancelled bool
	// Offset is the log offset of the submission's record, of the first one that was read if it
	// is stored more than once.
	Offset uint64

	// mayBeRepeated is set if that record was read among newest records, which hold only the
	// last one of each key: an earlier record of the submission may precede Offset.
	mayBeRepeated bool
	// ahead is set if records before Offset have not been read yet, the claim of another owner
	// perhaps: the record was read ahead of its place in the log.
	ahead          bool
	progressOffset uint64
	// cancelStored is set if the record of its cancellation is stored.
	cancelStored bool
	// submissionBytes and progressBytes are the sizes of its records. countedBytes is what
	// storage counts for the entry, under countedTeam.
	submissionBytes, progressBytes int
	countedBytes                   int64
	countedTeam                    string
	// replaced is set if the next record of the submission replaces it, since it may be that
	// of a later one under the same ID; see Registry.BeginNewest.
	replaced bool
	// parts are those of a divided progress, by number, and partsBytes is the size of their
	// records. A copy of the entry is made by copied, since the map is changed in place.
	parts      map[int]progressPart
	partsBytes int
}

// progressPart is a part of a divided progress with the log offset of its record.
type progressPart struct {
	cell.ProgressPart
	offset uint64
	bytes  int
}

// FullProgress returns the progress with all details, also if it is divided.
func (e *Entry) FullProgress() cell.Progress {
	parts := make(map[int]cell.ProgressPart, len(e.parts))
	for number, p := range e.parts {
		parts[number] = p.ProgressPart
	}
	return e.Progress.Join(parts)
}

// setPart sets a part of a divided progress.
func (e *Entry) setPart(number int, p progressPart) {
	if e.parts == nil {
		e.parts = make(map[int]progressPart)
	}
	e.partsBytes += p.bytes - e.parts[number].bytes
	e.parts[number] = p
}

// deletePart forgets a part of a divided progress.
func (e *Entry) deletePart(number int) {
	e.partsBytes -= e.parts[number].bytes
	delete(e.parts, number)
}

// MayPrecede reports whether the submission may have been stored before an offset.
func (e *Entry) MayPrecede(offset uint64) bool { return e.mayBeRepeated || e.Offset < offset }

// copied returns a copy that shares no parts with the entry.
func (e *Entry) copied() Entry {
	c := *e
	c.parts = maps.Clone(e.parts)
	return c
}

// Expired reports whether the submission has finished and its final progress is missing: its
// records are being deleted, or the progress has not been read yet since the newest records
// are read in parts.
func (e *Entry) Expired() bool {
	return e.Submission != nil && e.Submission.Finished && !e.Progress.State.Final()
}

// State returns the state that callers see.
func (e *Entry) State() cell.State {
	if e.Cancelled && !e.Progress.State.Final() {
		return cell.Cancelled
	}
	return e.Progress.State
}
