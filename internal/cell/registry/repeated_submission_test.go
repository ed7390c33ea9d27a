package registry

import (
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
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

// Guards against a submission that counts as younger than a claim although it was stored before
// it, and again after it: among newest records only the later record is left. A new owner starts
// a younger submission without waiting for the runs of earlier owners.
func TestRepeatedSubmissionMayPrecedeAClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &topic{t: t, state: map[string]cell.State{}, parts: map[string]cell.BitSet{}, lives: map[string]int{}, retained: map[string]bool{}}
		reader, next := New(slog.New(slog.DiscardHandler)), 0
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			for range rapid.IntRange(0, 6).Draw(t, "writes") {
				l.write()
			}
			if rapid.Bool().Draw(t, "trimmed") {
				records, end := l.newest()
				reader.BeginNewest(records)
				for _, r := range records {
					reader.Apply(r)
				}
				next = end
			}
			for to := rapid.IntRange(next, len(l.records)).Draw(t, "to"); next < to; next++ {
				reader.Apply(l.records[next])
			}
			for _, e := range reader.All() {
				if e.Submission.Finished || e.State().Final() {
					continue // it is not started any more
				}
				// A claim may lie right behind the first record.
				if first := l.firstOffset(e.Submission); !e.MayPrecede(first + 1) {
					t.Fatalf("%s, first stored at %d, counts as younger than a claim at %d", e.Submission.ID, first, first+1)
				}
			}
		}
		reader.checkStorage(t)
	})
}
