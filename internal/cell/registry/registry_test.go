package registry

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

func drawRecord(t *rapid.T, offset uint64) platform.Record {
	id := fmt.Sprintf("job%d", rapid.IntRange(0, 4).Draw(t, "id"))
	var r platform.Record
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		r = SubmissionRecord(&cell.Submission{ID: id, Team: "t", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}})
	case 1:
		p := cell.Progress{State: cell.State(rapid.IntRange(0, 1).Draw(t, "state"))}
		p.Groups = map[string]cell.GroupProgress{"g": {Failures: map[int][]int64{0: {int64(offset)}}}}
		r = ProgressRecord(id, p)
	case 2:
		r = CancelRecord(id)
	case 3:
		r = OwnershipRecord(Ownership{Node: id, InstanceID: "b", Token: int64(offset)})
	default:
		r = HostRecord(Host{Spec: cell.Host{ID: id}, Closed: offset%2 == 0})
	}
	r.Offset = offset
	return r
}

func state(r *Registry) any {
	o, _ := r.Owner()
	all := map[string]Entry{}
	for _, e := range r.All() {
		all[e.Submission.ID] = e
	}
	return []any{o, r.Hosts(), all}
}

// Guards against a node whose state differs from that of a node that read every
// record, because records were deleted before it read them: it then reads the
// newest record of each key, sorted by key, and after that some records again.
func TestNewestRecordsGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "records")
		var records []platform.Record
		for i := range n {
			records = append(records, drawRecord(t, uint64(i)))
		}
		log := slog.New(slog.DiscardHandler)
		complete, fromNewest := New(log), New(log)
		for _, r := range records {
			complete.Apply(r)
		}
		read := rapid.IntRange(0, n).Draw(t, "read before")
		for _, r := range records[:read] {
			fromNewest.Apply(r)
		}
		newest := map[string]platform.Record{}
		for _, r := range records {
			newest[r.Key] = r
		}
		again := rapid.IntRange(0, n).Draw(t, "read again from")
		for _, key := range rapid.Permutation(sortedKeys(newest)).Draw(t, "order") {
			fromNewest.ApplyNewest(newest[key], uint64(again))
		}
		for _, r := range records[again:] {
			fromNewest.Apply(r)
		}
		// If a submission is stored twice, its first record determines its place in the
		// queue; the content of both is the same.
		ignore := cmpopts.IgnoreFields(Entry{}, "Offset")
		if d := cmp.Diff(state(complete), state(fromNewest), ignore, cmpopts.IgnoreUnexported(Entry{})); d != "" {
			t.Errorf("states differ: %s", d)
		}
	})
}

func sortedKeys(m map[string]platform.Record) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	return out
}

// Guards against a record of another writer, or a malformed one, that stops the
// reading of the log.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	for _, key := range []string{"o", "h/x", "n/x", "s/x", "p/x", "unknown", ""} {
		r.Apply(platform.Record{Key: key, Value: []byte("{")})
	}
	if n := len(r.All()); n != 0 {
		t.Errorf("%d submissions from malformed records", n)
	}
}

// Guards against the state "running" for a submission whose cancellation was
// requested, and "cancelled" for one that had already finished.
func TestStateOfCancelledSubmission(t *testing.T) {
	for _, c := range []struct {
		progress, want cell.State
	}{{cell.Queued, cell.Cancelled}, {cell.Active, cell.Cancelled}, {cell.Completed, cell.Completed}, {cell.Failed, cell.Failed}} {
		e := Entry{Cancelled: true, Progress: cell.Progress{State: c.progress}}
		if got := e.State(); got != c.want {
			t.Errorf("%s and cancelled is %s, want %s", c.progress, got, c.want)
		}
	}
}

// Guards against an owner that is replaced as silent while it stores records of hosts, since
// it appends no heartbeat beside other records.
func TestEachRecordOfTheOwnerShowsThatItIsAlive(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	for i, rec := range []platform.Record{
		OwnershipRecord(Ownership{Node: "n", InstanceID: "b", Token: 1}), ProgressRecord("x", cell.Progress{}),
		HostRecord(Host{Spec: cell.Host{ID: "h"}}), HostDeletionRecord("h"),
	} {
		rec.Offset = uint64(i)
		_, before := r.Owner()
		r.Apply(rec)
		if _, after := r.Owner(); after <= before {
			t.Errorf("the record with the key %s does not count", rec.Key)
		}
	}
}
