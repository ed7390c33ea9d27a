package registry

import (
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// runningWork is what an owner that listens runs: submissions that it was told of, and not of
// their cancellation.
type runningWork map[string]bool

func (w runningWork) Submitted(e Entry) { w[e.Submission.ID] = !e.Cancelled }

func (w runningWork) CancelRequested(id string) { w[id] = false }

// drawTombstoneLog returns a topic with one submission of team a, perhaps repeated, and
// tombstones of its ID by teams a and b. cancelled is set if team a cancelled.
func drawTombstoneLog(t *rapid.T) (records []platform.Record, cancelled bool) {
	const id = "5c0e7a21d94b36f8"
	sub := &cell.Submission{ID: id, Team: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 2}, {Count: 1, After: []int{0}}}, Occurrences: rapid.IntRange(0, 2).Draw(t, "occurrences")}
	for range rapid.IntRange(1, 3).Draw(t, "submitted") {
		records = append(records, SubmissionRecord(sub))
	}
	for range rapid.IntRange(0, 3).Draw(t, "tombstones") {
		team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
		cancelled = cancelled || team == "a"
		records = append(records, TombstoneRecord(id, Tombstone{Principal: cell.Principal{Team: team}}))
	}
	records = rapid.Permutation(records).Draw(t, "order")
	for i := range records {
		records[i].Offset = uint64(i)
	}
	return records, cancelled
}

// Guards against a submission that runs although its caller was told that it is cancelled, since
// its append took effect after the cancellation or before it, on an owner that has read all
// records or the newest ones; and against another team that cancels it.
func TestTombstoneCancelsInWhateverOrderItIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, cancelled := drawTombstoneLog(t)
		r, runs := New(slog.New(slog.DiscardHandler)), runningWork{}
		r.SetListener(runs)
		newestUpTo := rapid.IntRange(0, len(records)).Draw(t, "newest up to")
		readAgain := rapid.IntRange(0, newestUpTo).Draw(t, "read again from")
		newest := map[string]platform.Record{}
		for _, rec := range records[:newestUpTo] {
			newest[rec.Key] = rec
		}
		page := []platform.Record{}
		for _, key := range sortedKeys(newest) {
			page = append(page, newest[key])
		}
		r.BeginNewest(page)
		for _, rec := range page {
			r.ApplyNewest(rec, uint64(readAgain))
		}
		for _, rec := range records[readAgain:] {
			r.Apply(rec)
		}
		all := r.All()
		if len(all) != 1 || all[0].Cancelled != cancelled {
			t.Errorf("an owner that loads the submissions finds %+v, want cancelled %t", all, cancelled)
		}
		if got := runs[all[0].Submission.ID]; got == cancelled {
			t.Errorf("the owner runs the submission: %t, cancelled: %t", got, cancelled)
		}
		r.checkStorage(t)
	})
}

// Guards against tombstones that are kept for good, and against the deletion of one that puts
// another one, or a cancelled submission, out of force.
func TestDeletedTombstoneLeavesOthersInForce(t *testing.T) {
	const first, second = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	submission := func(id string) platform.Record {
		return SubmissionRecord(&cell.Submission{ID: id, Team: "a", Steps: []cell.Step{{Count: 1}}})
	}
	r := New(slog.New(slog.DiscardHandler))
	old, newer, other := TombstoneRecord(first, Tombstone{Principal: cell.Principal{Team: "a"}}), TombstoneRecord(first, Tombstone{Principal: cell.Principal{Team: "a"}}), TombstoneRecord(second, Tombstone{Principal: cell.Principal{Team: "a"}})
	next := uint64(0)
	apply := func(records ...platform.Record) {
		t.Helper()
		for _, rec := range records {
			rec.Offset = next
			next++
			r.Apply(rec)
		}
		for _, id := range []string{first, second} {
			if e, found := r.Find(id); !found || e.State() != cell.Cancelled {
				t.Errorf("%s: found %t, state %s", id, found, e.State())
			}
		}
	}
	apply(old, newer, other, TombstoneDeletionRecord(old.Key), submission(first), submission(second))
	final := cell.Progress{State: cell.Cancelled}
	apply(ProgressRecord(first, final), ProgressRecord(second, final), TombstoneDeletionRecord(newer.Key), TombstoneDeletionRecord(other.Key))
	if keys := r.TombstoneKeys(); len(keys) != 0 {
		t.Errorf("tombstones are kept: %v", keys)
	}
}

// Guards against a tombstone that a node keeps for good, since it was deleted while the node read
// nothing, and one that is forgotten though it is stored.
func TestTombstonesAfterAGap(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	r := New(slog.New(slog.DiscardHandler))
	deleted, kept := TombstoneRecord(id, Tombstone{Principal: cell.Principal{Team: "a"}}), TombstoneRecord(id, Tombstone{Principal: cell.Principal{Team: "b"}})
	r.Apply(deleted)
	r.Apply(kept)
	r.BeginNewest([]platform.Record{kept})
	if keys := r.TombstoneKeys(); len(keys) != 1 || keys[0] != kept.Key {
		t.Errorf("the tombstones are %v, want %s", keys, kept.Key)
	}
	if total, ofTeam := r.Storage("a"); total != TombstoneBytes || ofTeam != 0 {
		t.Errorf("%d bytes are counted, %d of the team of the deleted tombstone", total, ofTeam)
	}
}
