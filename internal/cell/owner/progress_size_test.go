package owner

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a progress that exceeds the limit of the store on a record and is not
// stored, or without the failures, while its ends are acknowledged: a later owner runs done
// tasks again.
func TestLargeProgressIsStoredInFull(t *testing.T) {
	for name, c := range map[string]struct {
		sub  cell.Submission
		ends func(i int) (cell.Ended, bool)
	}{
		"all occurrences but one are done": {
			cell.Submission{Occurrences: 8_000, Steps: []cell.Step{{Count: 1}}},
			func(i int) (cell.Ended, bool) {
				return cell.Ended{Task: cell.TaskID{Occurrence: i}, Outcome: cell.OutcomeDone}, i < 7_999
			},
		},
		"one of two tasks of each occurrence is done": {
			cell.Submission{Occurrences: 10_000, Steps: []cell.Step{{Count: 2}}},
			func(i int) (cell.Ended, bool) {
				return cell.Ended{Task: cell.TaskID{Occurrence: i}, Outcome: cell.OutcomeDone}, i < 10_000
			},
		},
		"every second task is done": {
			cell.Submission{Steps: []cell.Step{{Count: cell.MaxTasks}}},
			func(i int) (cell.Ended, bool) {
				return cell.Ended{Task: cell.TaskID{Index: i}, Outcome: cell.OutcomeDone}, i%2 == 0
			},
		},
		"every task has a checkpoint": {
			cell.Submission{Steps: []cell.Step{{Count: cell.MaxTasks, Checkpoints: true}}},
			func(i int) (cell.Ended, bool) {
				return cell.Ended{Task: cell.TaskID{Index: i}, Outcome: cell.OutcomeStopped, Checkpoint: "00000bb87a21d94b"}, true
			},
		},
		"some are done, the others have failed": {
			cell.Submission{Steps: []cell.Step{{Count: cell.MaxTasks, Checkpoints: true}}},
			func(i int) (cell.Ended, bool) {
				e := cell.Ended{Task: cell.TaskID{Index: i}, Outcome: cell.OutcomeFailed, Checkpoint: strings.Repeat("c", 100)}
				if i%100 == 0 {
					e.Outcome = cell.OutcomeDone
				}
				return e, true
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.sub.ID = "5c0e7a21d94b36f8"
			w := newLoadedOwner(t, registry.Entry{Submission: &c.sub})
			spec := cell.Host{ID: "h"}
			w.scheduler.SetHosts([]cell.Host{spec})
			w.scheduler.SetListedHosts([]cell.Host{spec})
			report, done := cell.HostReport{}, 0
			for i := range cell.MaxTasks {
				e, ok := c.ends(i)
				if !ok {
					continue
				}
				if e.Outcome == cell.OutcomeDone {
					done++
				}
				e.Task.Submission, e.Number, e.Run = c.sub.ID, int64(i+1), 1
				report.Ended = append(report.Ended, e)
			}
			w.scheduler.ApplyReport("h", time.Second, 2*time.Second, report)
			reg := registry.New(slog.New(slog.DiscardHandler))
			reg.Apply(registry.SubmissionRecord(&c.sub))
			storeProgress(t, w, reg)
			w.scheduler.ApplyReport("h", 2*time.Second, 3*time.Second, cell.HostReport{Ended: []cell.Ended{
				{Number: cell.MaxTasks + 1, Run: 2, Task: cell.TaskID{Submission: c.sub.ID, Index: 1}, Outcome: cell.OutcomeFailed, Checkpoint: "another"},
			}})
			if n := storeProgress(t, w, reg); n > 2 {
				t.Errorf("%d records for a change of one task", n)
			}
			next := newLoadedOwner(t, reg.All()...)
			want, _ := w.scheduler.Progress(c.sub.ID)
			got, _ := next.scheduler.Progress(c.sub.ID)
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("a later owner starts from another progress: %.2000s", d)
			}
			if left := next.scheduler.TasksLeft(c.sub.ID); left != c.sub.OccurrenceCount()*c.sub.Steps[0].Count-done {
				t.Errorf("%d tasks are left, want %d", left, c.sub.OccurrenceCount()*c.sub.Steps[0].Count-done)
			}
		})
	}
}

// storeProgress applies the records of the changed progress, as the owner stores them, and
// returns their number.
func storeProgress(t *testing.T, w *Owner, reg *registry.Registry) int {
	t.Helper()
	records, _ := w.progressRecords()
	for _, r := range records {
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		reg.Apply(r)
	}
	return len(records)
}

// Guards against parts of a divided progress that stay in the log for good.
func TestPartsAreDeletedWithTheirSubmission(t *testing.T) {
	sub := &cell.Submission{ID: "5c0e7a21d94b36f8", Steps: []cell.Step{{Count: 10_000, Checkpoints: true}}}
	w := newLoadedOwner(t, registry.Entry{Submission: sub})
	w.scheduler.SetHosts([]cell.Host{{ID: "h"}})
	var report cell.HostReport
	for i := range 10_000 {
		report.Ended = append(report.Ended, cell.Ended{Number: int64(i + 1), Run: 1, Task: cell.TaskID{Submission: sub.ID, Index: i}, Outcome: cell.OutcomeStopped, Checkpoint: strings.Repeat("c", 100)})
	}
	w.scheduler.ApplyReport("h", time.Second, 2*time.Second, report)
	stored := make(map[string]bool)
	store := func(records []platform.Record) {
		for _, r := range records {
			if stored[r.Key] = true; len(r.Value) == 0 {
				delete(stored, r.Key)
			}
		}
	}
	records, _ := w.progressRecords()
	store(records)
	if len(stored) < 2 {
		t.Fatalf("%d records, want a divided progress", len(stored))
	}
	w.scheduler.Cancel(sub.ID, 3*time.Second)
	records, finished := w.progressRecords()
	store(records)
	w.removeFinished(finished)
	records, _ = w.expiryRecords(w.options.Clock.Now() + time.Hour)
	store(records)
	if len(stored) > 0 {
		t.Errorf("%d records are left", len(stored))
	}
}

func newLoadedOwner(t *testing.T, entries ...registry.Entry) *Owner {
	t.Helper()
	w := New(Options{
		Self: registry.Ownership{Token: 2}, Clock: boottime.Clock{}, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
		Desired: func() *cell.Desired { return nil }, EarlierOwnersGone: func() bool { return false }, Stored: func() []registry.Entry { return entries },
	})
	w.load()
	return w
}
