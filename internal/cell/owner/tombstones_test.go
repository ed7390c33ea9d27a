package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a submission that runs although it was cancelled before it was stored: at the
// owner that reads it, with steps that follow others and with occurrences.
func TestSubmissionBehindItsTombstoneNeverStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := cell.Queue{Name: "q", Service: "s"}
	ow := newOwnerWithHost(Options{}, queue)
	for i, occurrences := range []int{0, 3} {
		id := fmt.Sprintf("%016x", i)
		s := &cell.Submission{ID: id, Team: "t", Queue: queue, Steps: []cell.Step{{Count: 1}, {Count: 2, After: []int{0}}}, Occurrences: occurrences}
		ow.Submitted(registry.Entry{Submission: s, Cancelled: true})
	}
	submit(ow, fmt.Sprintf("%016x", 2), queue)
	ow.mu.Lock()
	ow.applyEvents()
	plan := ow.scheduler.Decide(ow.options.Clock.Now(), 0)
	ow.mu.Unlock()
	g.Expect(plan.Starts).To(gomega.HaveLen(1), "only the submission that nobody cancelled starts")
	for i := range 2 {
		p, ok := ow.scheduler.Progress(fmt.Sprintf("%016x", i))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(p.State).To(gomega.Equal(cell.Cancelled))
	}
}

// Guards against tombstones that are deleted before a late append of their submission can take
// effect, that are kept for good since the node that stored them has ended, and that are deleted
// in one append that the store refuses for its size.
func TestTombstonesAreDeletedAfterTheRetentionPeriod(t *testing.T) {
	var stored []string
	for i := range maxRecordsPerAppend + 50 {
		stored = append(stored, registry.TombstoneRecord(fmt.Sprintf("%016x", i), registry.Tombstone{Principal: cell.Principal{Team: "t"}}).Key)
	}
	late := registry.TombstoneRecord("5c0e7a21d94b36f8", registry.Tombstone{Principal: cell.Principal{Team: "t"}}).Key
	ow := newOwnerWithHost(Options{RetentionPeriod: time.Minute, TombstoneKeys: func() []string { return stored }}, cell.Queue{Name: "q"})
	for _, c := range []struct {
		now     time.Duration
		deleted int
		all     bool
	}{{0, 0, true}, {time.Minute, 0, true}, {time.Minute + 1, maxRecordsPerAppend, false}, {time.Minute + 2, 50, true}, {time.Minute + 3, 0, true}} {
		records, all := ow.tombstoneExpiryRecords(c.now)
		if len(records) != c.deleted || all != c.all {
			t.Errorf("after %s %d tombstones are deleted, all %t; want %d, %t", c.now, len(records), all, c.deleted, c.all)
		}
		for _, r := range records {
			if len(r.Value) > 0 || r.Key == late || !slices.Contains(stored, r.Key) {
				t.Errorf("after %s the record %+v is stored", c.now, r)
			}
		}
		if c.now == time.Minute {
			stored = append(stored, late)
		}
	}
}
