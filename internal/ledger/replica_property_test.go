package ledger

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a state that depends on how the log was read. The log contains
// duplicate batches and random bytes, records are read twice, and the replica is
// restored from a snapshot at a random point.
func TestStateDependsOnlyOnLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newLogBuilder(rt)
		want := [][]Event{nil}
		for range rapid.IntRange(1, 60).Draw(rt, "length") {
			want = append(want, b.add())
		}
		cut := b.pick("cut", len(b.payloads)+1)
		replica, copied := NewReplica(testOptions()), NewReplica(testOptions())
		for i, payload := range b.payloads {
			if i == cut && i > 0 {
				transferState(rt, replica, copied)
				replica = copied
			}
			events, err := replica.Apply(uint64(i+1), payload)
			if err != nil || (i > 0 && !reflect.DeepEqual(events, want[i])) {
				rt.Fatalf("record %d: events %v, want %v, error %v", i+1, events, want[i], err)
			}
			again := uint64(1 + b.pick("again", i+1))
			if _, err := replica.Apply(again, b.payloads[again-1]); !errors.Is(err, ErrNotNewer) {
				rt.Fatalf("record %d read again: %v", again, err)
			}
			if _, err := replica.Apply(uint64(i+3), payload); !errors.Is(err, ErrMissingRecords) {
				rt.Fatalf("record %d skipped: %v", i+2, err)
			}
		}
		if got := encodeSnapshot(t, replica.state); !bytes.Equal(got, encodeSnapshot(t, b.state)) {
			rt.Fatalf("states differ after a restart at %d", cut)
		}
		checkIndex(rt, replica.state)
	})
}

// transferState restores a snapshot of one replica in another. It checks that the
// restored state gives the same snapshot, and that a replica refuses a snapshot
// that is not newer than its state.
func transferState(rt *rapid.T, from, to *Replica) {
	data, _, err := from.Snapshot()
	if err != nil {
		rt.Fatalf("snapshot: %v", err)
	}
	if err := to.Restore(data); err != nil {
		rt.Fatalf("restore: %v", err)
	}
	again, _, err := to.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		rt.Fatalf("snapshot of the restored state differs, error %v", err)
	}
	if err := from.Restore(data); !errors.Is(err, ErrNotNewer) {
		rt.Fatalf("restored a snapshot that is not newer: %v", err)
	}
}

// checkIndex compares the index and the counters of jobs with rebuilt ones.
func checkIndex(rt *rapid.T, s *State) {
	open, count, texts := s.openByShard, s.openJobCount, s.jobTextBytes
	s.init()
	if !reflect.DeepEqual(open, s.openByShard) || count != s.openJobCount || texts != s.jobTextBytes {
		rt.Fatalf("index of unfinished jobs is %v, want %v", open, s.openByShard)
	}
}

// Guards against units of a limit that are created, lost or negative after any
// record or restore, and against a decreasing configuration revision.
func TestLimitsAddUpAndRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newLogBuilder(rt)
		revision := uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "length") {
			b.add()
			want := testOptions().Limits(b.state.Config.sorted)
			if len(want) != len(b.state.Limits) {
				rt.Fatalf("limits %v, want %v", b.state.Limits, want)
			}
			for name, l := range b.state.Limits {
				sum := l.Pool
				for shard, units := range l.Shards {
					if units <= 0 {
						rt.Fatalf("shard %s has %d units of %s", shard, units, name)
					}
					sum += units
				}
				if sum != want[name] || l.Pool < 0 || l.Total != want[name] {
					rt.Fatalf("limit %s is %+v, want a total of %d", name, l, want[name])
				}
			}
			if b.state.Config.Revision < revision {
				rt.Fatalf("revision %d after %d", b.state.Config.Revision, revision)
			}
			revision = b.state.Config.Revision
			if b.pick("restart", 10) == 0 {
				restored, err := FromSnapshot(testOptions(), encodeSnapshot(t, b.state))
				if err != nil {
					rt.Fatalf("restore: %v", err)
				}
				b.state = restored
			}
		}
	})
}

// Guards against a lowered limit that takes units from the shards out of proportion
// to their allotments.
func TestLoweredLimitIsCutInProportion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := limit{}
		l.resize(1 << 40)
		before := map[string]int64{}
		for _, shard := range []string{"a", "b", "c", "d"} {
			units := rapid.Int64Range(0, 1<<38).Draw(rt, shard)
			l.Pool -= units
			l.add(shard, units)
			before[shard] = units
		}
		held := l.Total - l.Pool
		total := rapid.Int64Range(0, l.Total).Draw(rt, "total")
		l.resize(total)
		if !l.balanced() || l.Total != total {
			rt.Fatalf("limit is %+v, want a total of %d", l, total)
		}
		for shard, units := range before {
			exact := float64(units)
			if total < held {
				exact = float64(units) * float64(total) / float64(held)
			}
			if diff := float64(l.Shards[shard]) - exact; diff > 1.001 || diff < -1.001 {
				rt.Fatalf("shard %s has %d units, want %.3f", shard, l.Shards[shard], exact)
			}
		}
	})
}
