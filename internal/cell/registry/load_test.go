package registry

import (
	"log/slog"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/platform"
)

// applyAt applies a record at an offset.
func applyAt(r *Registry, rec platform.Record, offset uint64) {
	rec.Offset = offset
	r.Apply(rec)
}

// Guards against summaries that are used although they are those of a former owner, unreadable,
// deleted, or missing after the history was trimmed.
func TestLoadIsThatOfThePresentOwner(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	expect := func(what string, want bool) {
		t.Helper()
		if l, ok := r.Load(); ok != want {
			t.Errorf("%s: %+v, %t", what, l, ok)
		}
	}
	owner := Ownership{Node: "n", InstanceID: "i", Token: 5}
	load := func(token int64) platform.Record { return LoadRecord(admission.Summary{Token: token}) }
	expect("no record", false)
	if r.Applied() != 0 {
		t.Errorf("before the first record, %d are applied", r.Applied())
	}
	applyAt(r, load(5), 1)
	expect("no owner", false)
	applyAt(r, OwnershipRecord(owner), 2)
	expect("the owner's summary", true)
	applyAt(r, platform.Record{Key: keyLoad, Value: []byte("{]")}, 3)
	expect("malformed bytes", false)
	applyAt(r, load(5), 4)
	expect("a summary after malformed bytes", true)
	owner.Token = 6
	applyAt(r, OwnershipRecord(owner), 5)
	expect("a former owner's summary", false)
	applyAt(r, load(6), 6)
	expect("the successor's summary", true)
	applyAt(r, load(5), 7)
	expect("a late summary of the former owner", false)
	applyAt(r, load(6), 8)
	applyAt(r, platform.Record{Key: keyLoad}, 9)
	expect("a deleted summary", false)
	applyAt(r, load(6), 10)
	owner.Released = true
	applyAt(r, OwnershipRecord(owner), 11)
	expect("a summary of an owner that has released the ownership", false)
	if r.Applied() != 12 {
		t.Errorf("the log is applied up to %d", r.Applied())
	}
	r.BeginNewest(nil)
	if l, _ := r.Load(); l.Offset != 0 {
		t.Errorf("after the newest records were read without one, the summary is %+v", l)
	}
}
