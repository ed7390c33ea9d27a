package ledger

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Guards against concurrent publications that get different results on two nodes,
// or a result other than that of a simple model of the rule: a publication
// conflicts if one of its objects has changed since its base revision, and is
// refused if the resulting objects are invalid.
func TestConcurrentPublicationsGetOneResult(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, two := NewReplica(testOptions()), NewReplica(testOptions())
		changed, revision := map[string]uint64{}, uint64(0)
		for i := range rapid.IntRange(1, 30).Draw(rt, "publications") {
			base := revision - min(revision, uint64(rapid.IntRange(0, 4).Draw(rt, "behind")))
			p := &ledgerv1.Publication{Id: fmt.Sprint("p", i), BaseRevision: base}
			conflict, bad := false, false
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID).Draw(rt, "names") {
				kind := rapid.SampledFrom([]string{"limit", "limit", "limit", "bad"}).Draw(rt, "kind")
				withdrawn := rapid.Bool().Draw(rt, "withdrawn")
				p.Changes = append(p.Changes, &ledgerv1.ObjectChange{Kind: kind, Name: name, Spec: []byte{1}, Withdrawn: withdrawn})
				conflict = conflict || changed[kind+name] > base
				bad = bad || (kind == "bad" && !withdrawn)
			}
			if !conflict && !bad {
				revision++
				for _, c := range p.Changes {
					changed[c.Kind+c.Name] = revision
				}
			}
			payload := marshalBatch(rt, fmt.Sprint("n", i%3), uint64(i+1), &ledgerv1.Record{
				Kind: &ledgerv1.Record_Publication{Publication: p}})
			for _, replica := range []*Replica{one, two} {
				events, err := replica.Apply(uint64(i+1), payload)
				if err != nil || len(events) < 2 {
					rt.Fatalf("apply: %v, %v", events, err)
				}
				checkResult(rt, events[1], conflict, bad, revision)
			}
			if one.Configuration().Revision != revision {
				rt.Fatalf("revision %d, want %d", one.Configuration().Revision, revision)
			}
		}
	})
}

func checkResult(rt *rapid.T, event Event, conflict, bad bool, revision uint64) {
	var ok bool
	switch e := event.(type) {
	case ConfigurationAccepted:
		ok = !conflict && !bad && e.Revision == revision
	case ConfigurationConflict:
		ok = conflict && len(e.Conflicts) > 0
	case ConfigurationRefused:
		ok = !conflict && bad && len(e.Problems) > 0
	}
	if !ok {
		rt.Fatalf("event %T %+v with conflict %v, bad %v, revision %d", event, event, conflict, bad, revision)
	}
}

type fataler interface{ Fatalf(string, ...any) }

func marshalBatch(t fataler, node string, sequence uint64, records ...*ledgerv1.Record) []byte {
	return marshalBatchOf(t, node, 1, sequence, records...)
}

func marshalBatchOf(t fataler, node string, incarnation, sequence uint64, records ...*ledgerv1.Record) []byte {
	payload, err := proto.Marshal(&ledgerv1.Batch{Node: node, Incarnation: incarnation, Sequence: sequence, Records: records})
	if err != nil {
		t.Fatalf("marshal: %v", err)
	}
	return payload
}
