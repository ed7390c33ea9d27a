package registry

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
	"github.com/medlarpulley/medlarpulley/platform"
)

// at returns a record with an offset.
func at(offset uint64, r platform.Record) platform.Record {
	r.Offset = offset
	return r
}

// Guards against a successor that gets older run times than were stored last, or those of a
// record that was deleted while the topic was not read.
func TestNewestRecordOfRunTimesIsKept(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	if r.RunTimes() != nil {
		t.Error("there are run times before any record")
	}
	first, second := at(4, RunTimesRecord([]byte("one"))), at(9, RunTimesRecord([]byte("two")))
	r.Apply(first)
	r.Apply(second)
	r.Apply(first)
	if got := string(r.RunTimes()); got != "two" {
		t.Errorf("the run times are %q, want the newest", got)
	}
	r.BeginNewest([]platform.Record{first})
	r.Apply(first)
	if got := string(r.RunTimes()); got != "one" {
		t.Errorf("the run times are %q, want those of the newest records", got)
	}
	r.BeginNewest(nil)
	if got := r.RunTimes(); got != nil {
		t.Errorf("the run times are %q after their record was deleted", got)
	}
}

// Guards against a record of another writer that takes memory on each node.
func TestLongRecordOfRunTimesIsIgnored(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	r.Apply(at(1, RunTimesRecord([]byte("one"))))
	r.Apply(at(2, RunTimesRecord([]byte(strings.Repeat("x", runtimes.MaxSnapshotBytes+1)))))
	if got := string(r.RunTimes()); got != "one" {
		t.Errorf("the run times are %.20q", got)
	}
	r.Apply(at(3, RunTimesRecord(nil)))
	if got := r.RunTimes(); len(got) > 0 {
		t.Errorf("the run times are %q after a deletion", got)
	}
}

// Guards against an owner that counts as acting, or not, by a record of run times alone.
func TestRecordOfRunTimesIsNoSignOfLife(t *testing.T) {
	if r := RunTimesRecord([]byte("x")); IsOwnerWrite(r) || IsOwnership(r) {
		t.Error("the record counts as a sign of life")
	}
}
