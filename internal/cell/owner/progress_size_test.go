package owner

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against an owner that can store nothing any more, since the progress of one
// large submission exceeds the limit of the store on a record; and against done work that
// a later owner runs again.
func TestProgressFitsOneRecord(t *testing.T) {
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
			records, _ := w.progressRecords()
			if len(records) != 1 {
				t.Fatalf("%d records", len(records))
			}
			if err := records[0].Check(); err != nil {
				t.Fatal(err)
			}
			// A later owner starts from the record.
			reg := registry.New(slog.New(slog.DiscardHandler))
			reg.Apply(registry.SubmissionRecord(&c.sub))
			reg.Apply(records[0])
			next := newLoadedOwner(t, reg.All()...)
			if left := next.scheduler.TasksLeft(c.sub.ID); left != c.sub.OccurrenceCount()*c.sub.Steps[0].Count-done {
				t.Errorf("%d tasks are left, want %d", left, c.sub.OccurrenceCount()*c.sub.Steps[0].Count-done)
			}
		})
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
