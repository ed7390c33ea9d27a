package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// finishedSubmission is a submission that has finished and whose records are deleted once
// the retention period is over.
type finishedSubmission struct {
	id string
	// at is when its final state was stored. For one that finished before the term it is
	// when the term began.
	at time.Duration
	// parts are the parts of its progress that have a record.
	parts cell.BitSet
}

// progressRecords returns the records of changed submissions, and those that are in a final
// state.
func (ow *Owner) progressRecords() (records []platform.Record, finished []finishedSubmission) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return nil, nil
	}
	for _, id := range ow.scheduler.Changed() {
		if ow.scheduler.Submission(id) == nil {
			continue
		}
		more, ok := ow.progressRecordsOf(id)
		if !ok {
			ow.scheduler.Fail(id, "its progress is too large to be stored", ow.options.Clock.Now())
			more, _ = ow.progressRecordsOf(id)
		}
		records = append(records, more...)
		if p, _ := ow.scheduler.Progress(id); p.State.Final() {
			// The summary limits what a starting node has to read.
			records = append(records, registry.SubmissionRecord(ow.scheduler.Submission(id).Summary()))
			finished = append(finished, finishedSubmission{id: id, parts: p.StoredParts})
		}
	}
	return records, finished
}

// progressRecordsOf returns the records of the progress of a submission: one if it fits into
// that, and otherwise those of the parts that have changed, followed by one that names the
// done tasks. ok is false if not even one of the parts fits into a record.
func (ow *Owner) progressRecordsOf(id string) (records []platform.Record, ok bool) {
	if !ow.scheduler.HasDividedProgress(id) {
		p, _ := ow.scheduler.Progress(id)
		r := registry.ProgressRecord(id, p)
		err := r.Check()
		if err == nil {
			return []platform.Record{r}, true
		}
		ow.options.Log.Info("The progress of a submission is divided, since it does not fit into one record.", "id", id, "error", err)
		ow.scheduler.DivideProgress(id)
	}
	p, parts := ow.scheduler.TakeDividedProgress(id)
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		r := ow.partRecord(id, number, parts[number])
		if r.Check() != nil {
			return nil, false
		}
		records = append(records, r)
	}
	return append(records, registry.ProgressRecord(id, p)), true
}

// partRecord returns the record of a part of a divided progress. If it exceeds the limit of
// the store, it lacks what a later owner can do without.
func (ow *Owner) partRecord(id string, number int, p cell.ProgressPart) platform.Record {
	r := registry.ProgressPartRecord(id, number, p)
	for _, reduce := range []func(cell.ProgressPart) cell.ProgressPart{cell.ProgressPart.WithoutMembers, cell.ProgressPart.WithoutCheckpoints} {
		err := r.Check()
		if err == nil {
			break
		}
		ow.options.Log.Warn("A part of the progress of a submission is stored without the members of its crashes or its checkpoints.", "id", id, "part", number, "error", err)
		p = reduce(p)
		r = registry.ProgressPartRecord(id, number, p)
	}
	return r
}
