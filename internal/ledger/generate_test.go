package ledger

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// testOptions takes limits from objects of kind "limit", whose spec is a single
// byte with the units, and rejects objects of kind "bad".
func testOptions() Options {
	return Options{
		Validate: func(objects []*Object) []Problem {
			var problems []Problem
			for _, o := range objects {
				if o.Kind == "bad" {
					problems = append(problems, Problem{Kind: o.Kind, Name: o.Name, Field: "kind", Want: "limit or queue"})
				}
			}
			return problems
		},
		Limits: func(objects []*Object) map[string]int64 {
			limits := map[string]int64{}
			for _, o := range objects {
				if o.Kind == "limit" && len(o.Spec) > 0 {
					limits[o.Name] = int64(o.Spec[0])
				}
			}
			return limits
		},
	}
}

// logBuilder generates a random log. Most of its records are valid in the state to
// which they are applied.
type logBuilder struct {
	t         *rapid.T
	state     *State
	payloads  [][]byte
	sequences map[string]uint64
}

// newLogBuilder starts the log with an owner of two shards and with one limit.
// Without these, most records would have no effect.
func newLogBuilder(t *rapid.T) *logBuilder {
	b := &logBuilder{t: t, state: New(testOptions()), sequences: map[string]uint64{"node0 1": 1}}
	b.append(marshalBatch(t, "node0", 1, join(), claim("shard0", 0), claim("shard1", 0),
		&ledgerv1.Record{Kind: &ledgerv1.Record_Publication{Publication: &ledgerv1.Publication{
			Id: "first", Changes: []*ledgerv1.ObjectChange{{Kind: "limit", Name: "limit0", Spec: []byte{200}}}}}}))
	return b
}

func (b *logBuilder) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(b.t, label) }

func (b *logBuilder) name(kind string, n int) string {
	return fmt.Sprintf("%s%d", kind, b.pick(kind, n))
}

// add appends one payload: a new batch, a copy of an earlier payload, random bytes,
// or a corrupted batch.
func (b *logBuilder) add() []Event {
	var payload []byte
	switch n := b.pick("form", 10); {
	case n == 0 && len(b.payloads) > 0:
		payload = b.payloads[b.pick("copy", len(b.payloads))]
	case n == 1:
		payload = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(b.t, "noise")
	case n == 2:
		payload = b.batch()
		payload[b.pick("damaged byte", len(payload))] = rapid.Byte().Draw(b.t, "damage")
	default:
		payload = b.batch()
	}
	return b.append(payload)
}

func (b *logBuilder) append(payload []byte) []Event {
	b.payloads = append(b.payloads, payload)
	events, err := b.state.Apply(uint64(len(b.payloads)), payload)
	if err != nil {
		b.t.Fatalf("apply: %v", err)
	}
	return events
}

func (b *logBuilder) batch() []byte {
	node, shard := b.name("node", 3), b.name("shard", 2)
	if c := b.state.claimOf(shard); b.isMember(c.Node) && b.pick("owner", 4) > 0 {
		node = c.Node
	}
	incarnation := uint64(1 + b.pick("incarnation", 2))
	if m, ok := b.state.member(node); ok && b.pick("current", 8) > 0 {
		incarnation = m.Incarnation
	}
	key := fmt.Sprint(node, " ", incarnation)
	b.sequences[key]++
	batch := &ledgerv1.Batch{Node: node, Incarnation: incarnation, Sequence: b.sequences[key]}
	if !b.isMember(node) {
		batch.Records = append(batch.Records, &ledgerv1.Record{Kind: &ledgerv1.Record_Join{
			Join: &ledgerv1.Join{Nodes: 3, Address: node}}})
	}
	for range 1 + b.pick("records", 3) {
		batch.Records = append(batch.Records, b.record(shard))
	}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(batch)
	if err != nil {
		b.t.Fatalf("marshal: %v", err)
	}
	return payload
}

func (b *logBuilder) isMember(node string) bool {
	_, ok := b.state.Ownership.Member(node)
	return ok
}

func (b *logBuilder) token(shard string) uint64 {
	if c := b.state.claimOf(shard); c.Token != 0 && b.pick("stale", 6) > 0 {
		return c.Token
	}
	return uint64(b.pick("token", 5))
}

func (b *logBuilder) record(shard string) *ledgerv1.Record {
	job := b.name("job", 5)
	token, first, count := b.token(shard), int32(b.pick("first", 6)), int32(1+b.pick("count", 4))
	switch b.pick("kind", 12) {
	case 0:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Publication{Publication: b.publication()}}
	case 1:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Leave{Leave: &ledgerv1.Leave{}}}
	case 2:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Renewal{Renewal: &ledgerv1.Renewal{ReadOffset: token}}}
	case 3:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Claim{Claim: &ledgerv1.Claim{Shard: shard, Supersedes: token}}}
	case 4:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Release{Release: &ledgerv1.Release{Shard: shard, Token: token}}}
	case 5, 6:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_JobAccepted{JobAccepted: b.job(job)}}
	case 7:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_JobCancelled{JobCancelled: &ledgerv1.JobCancelled{Job: job}}}
	case 8:
		attempt := &ledgerv1.Attempt{Job: job, Index: first, Attempt: count}
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Intents{Intents: &ledgerv1.Intents{
			Shard: shard, Token: token, Attempts: []*ledgerv1.Attempt{attempt}}}}
	case 9:
		ended := &ledgerv1.OutcomeRange{First: first, Count: count, Outcome: uint32(b.pick("outcome", 8))}
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{Outcomes: &ledgerv1.Outcomes{
			Shard: shard, Token: token, Job: job, Ranges: []*ledgerv1.OutcomeRange{ended}}}}
	case 10:
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
			Job: job, First: first, Count: count, From: shard, To: b.name("shard", 2), Token: token}}}
	default:
		transfer := &ledgerv1.Transfer{Limit: b.name("limit", 2), To: shard, Units: int64(count) * 10, Token: token}
		if b.pick("return", 3) == 0 {
			transfer.From, transfer.To = transfer.To, ""
		}
		return &ledgerv1.Record{Kind: &ledgerv1.Record_Transfer{Transfer: transfer}}
	}
}

func (b *logBuilder) publication() *ledgerv1.Publication {
	base := b.state.Config.Revision - min(b.state.Config.Revision, uint64(b.pick("behind", 3)))
	kinds := []string{"limit", "limit", "limit", "queue", "bad"}
	return &ledgerv1.Publication{
		Id: b.name("publication", 40), BaseRevision: base,
		Changes: []*ledgerv1.ObjectChange{{
			Kind: kinds[b.pick("object kind", len(kinds))], Name: b.name("limit", 2),
			Spec: []byte{rapid.Byte().Draw(b.t, "units")}, Withdrawn: b.pick("withdraw", 5) == 0,
		}},
	}
}

func (b *logBuilder) job(id string) *ledgerv1.JobAccepted {
	tasks := int32(1 + b.pick("tasks", 6))
	cut := int32(b.pick("cut", int(tasks)))
	parts := []*ledgerv1.Part{{Shard: "shard0", First: cut, Count: tasks - cut}}
	if cut > 0 {
		parts = append(parts, &ledgerv1.Part{Shard: "shard1", Count: cut})
	}
	return &ledgerv1.JobAccepted{
		Job:   &ledgerv1.Job{Id: id, Team: "team", Tasks: tasks, Idempotent: b.pick("idempotent", 2) == 0},
		Parts: parts,
	}
}

func encodeSnapshot(t testing.TB, s *State) []byte {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}
