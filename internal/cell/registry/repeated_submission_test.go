package registry

import (
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// firstOffset returns the offset of the first record of a submission.
func (l *topic) firstOffset(s *cell.Submission) uint64 {
	for _, r := range l.records {
		if r.Key != SubmissionKey(s.ID) || len(r.Value) == 0 {
			continue
		}
		if stored, err := decodeSubmission(s.ID, r); err == nil && stored.Spec == s.Spec {
			return r.Offset
		}
	}
	l.t.Fatalf("%s is not stored", s.ID)
	return 0
}

// checkWaiting reads a topic, with gaps, while others write. It passes each submission that waits
// and the offset from which the topic is read on to check.
func checkWaiting(t *rapid.T, check func(l *topic, e Entry, next uint64)) {
	l := &topic{t: t, state: map[string]cell.State{}, parts: map[string]cell.BitSet{}, lives: map[string]int{}, tombstones: map[string]string{}, retained: map[string]bool{}}
	reader, next := New(slog.New(slog.DiscardHandler)), 0
	for range rapid.IntRange(1, 20).Draw(t, "events") {
		for range rapid.IntRange(0, 6).Draw(t, "writes") {
			l.write()
		}
		if rapid.Bool().Draw(t, "trimmed") {
			var records []platform.Record
			records, next = l.newest()
			reader.BeginNewest(records)
			for _, r := range records {
				reader.ApplyNewest(r, uint64(next))
			}
		}
		for to := rapid.IntRange(next, len(l.records)).Draw(t, "to"); next < to; next++ {
			reader.Apply(l.records[next])
		}
		for _, e := range reader.All() {
			if !e.Submission.Finished && !e.State().Final() {
				check(l, e, uint64(next))
			}
		}
	}
	reader.checkStorage(t)
}

// Guards against a submission that counts as younger than a claim although it was stored before
// it, and again after it: among newest records only the later record is left. A new owner starts
// a younger submission without waiting for the runs of earlier owners.
func TestRepeatedSubmissionMayPrecedeAClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkWaiting(t, func(l *topic, e Entry, _ uint64) {
			// A claim may lie right behind the first record.
			if first := l.firstOffset(e.Submission); !e.MayPrecede(first + 1) {
				t.Fatalf("%s, first stored at %d, counts as younger than a claim at %d", e.Submission.ID, first, first+1)
			}
		})
	})
}

// Guards against an owner that starts a submission although its successor, whose claim lies
// before it, has not been read yet and starts it too: the record was read among newest records,
// later than that of the ownership.
func TestSubmissionCountsOnceItsPlaceIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkWaiting(t, func(l *topic, e Entry, next uint64) {
			first := l.firstOffset(e.Submission)
			if e.Offset < first {
				return // a deleted one of its ID was known; it counts in its place, and as that old
			}
			if first >= next {
				t.Fatalf("%s, first stored at %d, counts, and the topic is read up to %d", e.Submission.ID, first, next)
			}
		})
	})
}
