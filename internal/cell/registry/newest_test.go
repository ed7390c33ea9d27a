package registry

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// topic is the work topic as its writers fill it. Submissions are deleted some time after
// they have finished, and may be submitted again under their IDs.
type topic struct {
	t       *rapid.T
	records []platform.Record
	// state is what is stored of each submission; lives counts how often it was submitted.
	state map[string]cell.State
	parts map[string]cell.BitSet
	lives map[string]int
	// tombstones holds the key of the tombstone of an ID.
	tombstones map[string]string
	// retained holds, unless it is nil, the submissions that have finished since the last read of
	// newest records began. They are not deleted before the next one: states are kept for
	// minutes.
	retained map[string]bool
}

func (l *topic) append(records ...platform.Record) {
	for _, r := range records {
		r.Offset = uint64(len(l.records))
		l.records = append(l.records, r)
	}
}

// submission returns the record of the last submission under an ID.
func (l *topic) submission(id string) platform.Record {
	return SubmissionRecord(&cell.Submission{ID: id, Spec: fmt.Sprint(l.lives[id]), Team: "t", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 40}}})
}

// write appends what a writer may store next.
func (l *topic) write() {
	id := fmt.Sprintf("job%d", rapid.IntRange(0, 3).Draw(l.t, "id"))
	state, known := l.state[id]
	tombstone := l.tombstones[id]
	switch what := rapid.IntRange(0, 7).Draw(l.t, "write"); {
	case what == 7 && tombstone == "":
		r := TombstoneRecord(id, Tombstone{Principal: cell.Principal{Team: "t"}})
		l.tombstones[id] = r.Key
		l.append(r)
	case what == 7 && !known:
		l.append(TombstoneDeletionRecord(tombstone))
		delete(l.tombstones, id)
	case !known:
		l.lives[id]++
		l.state[id] = cell.Queued
		l.append(l.submission(id))
	case state.Final() && what < 3 && !l.retained[id]:
		l.append(SubmissionDeletionRecords(id, l.parts[id])...)
		delete(l.state, id)
		delete(l.parts, id)
	case state.Final():
	case what == 0:
		l.state[id] = cell.Completed
		if l.retained != nil {
			l.retained[id] = true
		}
		l.append(ProgressRecord(id, cell.Progress{State: cell.Completed, StoredParts: l.parts[id]}), SubmissionRecord(&cell.Submission{ID: id, Team: "t", Finished: true}))
	case what == 1:
		l.append(CancelRecord(id))
	case what == 2:
		number := rapid.IntRange(0, 2).Draw(l.t, "part")
		parts := l.parts[id].Clone()
		parts.Set(number)
		l.parts[id] = parts
		part := cell.ProgressPart{Groups: map[string]cell.GroupProgress{id + ".0.0": {Failures: map[int][]int64{number * cell.TasksPerProgressPart: {int64(len(l.records))}}}}}
		l.append(ProgressPartRecord(id, number, part), ProgressRecord(id, cell.Progress{State: cell.Active, Divided: true, StoredParts: parts}))
	case what == 3:
		l.append(HostRecord(Host{Spec: cell.Host{ID: id}}))
	case what == 4:
		l.append(HostDeletionRecord(id))
	case what == 5:
		l.append(l.submission(id)) // a retry of the caller at another node
	default:
		l.append(OwnershipRecord(Ownership{Node: id, InstanceID: "b", Token: int64(len(l.records) + 1)}))
	}
}

// newest returns the newest record of each key in parts, as the store does, while others
// write, and the end of the topic at the first part.
func (l *topic) newest() (records []platform.Record, end int) {
	end = len(l.records)
	clear(l.retained)
	for after := ""; ; {
		byKey := make(map[string]platform.Record)
		for _, r := range l.records {
			if byKey[r.Key] = r; len(r.Value) == 0 {
				delete(byKey, r.Key)
			}
		}
		keys := slices.Sorted(maps.Keys(byKey))
		i, found := slices.BinarySearch(keys, after)
		if found {
			i++
		}
		if i == len(keys) {
			return records, end
		}
		for _, key := range keys[i:min(i+2, len(keys))] {
			records = append(records, byKey[key])
			after = key
		}
		for range rapid.IntRange(0, 2).Draw(l.t, "written meanwhile") {
			l.write()
		}
	}
}

func fullState(r *Registry) any {
	o, _ := r.Owner()
	all := map[string]any{}
	for _, e := range r.All() {
		p := e.FullProgress()
		if e.Progress.State.Final() {
			p = cell.Progress{State: e.Progress.State}
		}
		all[e.Submission.ID] = []any{e.Submission.Spec, e.State(), e.Cancelled, p}
	}
	return []any{o, r.Hosts(), all, r.Pending(func(q *cell.Queue) bool { return q.Name == "q" })}
}

// Guards against work that is done and runs again, since a node that was cut off from the
// store, or suspended, until its records had been deleted holds it from before; and against
// hosts and cancellations that are held likewise.
func TestDeletedRecordsAreForgottenAfterAGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := slog.New(slog.DiscardHandler)
		l := &topic{t: t, state: map[string]cell.State{}, parts: map[string]cell.BitSet{}, lives: map[string]int{}, tombstones: map[string]string{}}
		reader, next := New(log), 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			for range rapid.IntRange(0, 4).Draw(t, "writes") {
				l.write()
			}
			switch rapid.IntRange(0, 2).Draw(t, "read") {
			case 0:
				var records []platform.Record
				records, next = l.newest()
				reader.BeginNewest(records)
				for _, r := range records {
					reader.ApplyNewest(r, uint64(next))
				}
			case 1:
				to := rapid.IntRange(next, len(l.records)).Draw(t, "to")
				for ; next < to; next++ {
					reader.Apply(l.records[next])
				}
			}
		}
		for ; next < len(l.records); next++ {
			reader.Apply(l.records[next])
		}
		reader.checkStorage(t)
		complete := New(log)
		for _, r := range l.records {
			complete.Apply(r)
		}
		if d := cmp.Diff(fullState(complete), fullState(reader), cmpopts.EquateEmpty()); d != "" {
			t.Errorf("states differ: %s", d)
		}
	})
}

// checkStorage checks the count of the memory of all submissions. If it drifted, submissions
// would be refused though little is stored, or accepted though there is no memory.
func (r *Registry) checkStorage(t *rapid.T) {
	var total int64
	byTeam := map[string]int64{}
	for i := range r.shards {
		for _, byKey := range r.shards[i].tombstones {
			for _, tombstone := range byKey {
				total += TombstoneBytes
				byTeam[tombstone.Team] += TombstoneBytes
			}
		}
		for _, e := range r.shards[i].entries {
			total += e.bytes()
			partsBytes := 0
			for _, p := range e.parts {
				partsBytes += p.bytes
			}
			if partsBytes != e.partsBytes {
				t.Errorf("%d bytes of parts are counted, want %d", e.partsBytes, partsBytes)
			}
			if e.Submission != nil {
				byTeam[e.Submission.Team] += e.bytes()
			}
		}
	}
	for team, want := range byTeam {
		if gotTotal, got := r.Storage(team); gotTotal != total || got != want {
			t.Errorf("%d bytes in all, %d of the team; want %d and %d", gotTotal, got, total, want)
		}
	}
	if got, _ := r.Storage(""); got != total {
		t.Errorf("%d bytes in all, want %d", got, total)
	}
}
