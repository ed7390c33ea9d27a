package ledger

import (
	"errors"
	"reflect"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// scene applies batches of several nodes.
type scene struct {
	t     *testing.T
	state *State
}

func newScene(t *testing.T) *scene { return &scene{t, New(testOptions())} }

// apply appends one batch and returns the events of its records.
func (s *scene) apply(node string, records ...*ledgerv1.Record) []Event {
	s.t.Helper()
	return s.applyAs(node, 1, records...)
}

// applyAs applies a batch of an incarnation of a node.
func (s *scene) applyAs(node string, incarnation uint64, records ...*ledgerv1.Record) []Event {
	s.t.Helper()
	next := s.state.NextOffset
	events, err := s.state.Apply(next, marshalBatchOf(s.t, node, incarnation, next, records...))
	if err != nil {
		s.t.Fatalf("apply: %v", err)
	}
	return events[1:]
}

func join() *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Join{Join: &ledgerv1.Join{Nodes: 3}}}
}

func claim(shard string, supersedes uint64) *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Claim{Claim: &ledgerv1.Claim{Shard: shard, Supersedes: supersedes}}}
}

func renewal() *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Renewal{Renewal: &ledgerv1.Renewal{}}}
}

func evict(node string, seen uint64) *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Evict{Evict: &ledgerv1.Evict{Node: node, Incarnation: 1, LastRenewalOffset: seen}}}
}

func jobRecord(id string, tasks int32, idempotent bool) *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_JobAccepted{JobAccepted: &ledgerv1.JobAccepted{
		Job:   &ledgerv1.Job{Id: id, Team: "t", Tasks: tasks, Idempotent: idempotent},
		Parts: []*ledgerv1.Part{{Shard: "s", Count: tasks}},
	}}}
}

func intent(token uint64, job string, index, attempt int32) *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Intents{Intents: &ledgerv1.Intents{
		Shard: "s", Token: token, Attempts: []*ledgerv1.Attempt{{Job: job, Index: index, Attempt: attempt}}}}}
}

// Guards against two effective claims of one shard, and against a former owner
// whose records still count.
func TestClaimNeedsTheCurrentToken(t *testing.T) {
	s := newScene(t)
	s.apply("a", join())
	s.apply("b", join())
	if _, ok := s.apply("c", claim("s", 0))[0].(ClaimIgnored); !ok {
		t.Fatal("claim of a node that is not a member had effect")
	}
	first := s.apply("a", claim("s", 0))[0].(ClaimEffective).Claim
	if ignored, ok := s.apply("b", claim("s", 0))[0].(ClaimIgnored); !ok || ignored.Current != first {
		t.Fatalf("racing claim: %+v", ignored)
	}
	second := s.apply("b", claim("s", first.Token))[0].(ClaimEffective)
	if second.Previous != first || second.Claim.Token <= first.Token {
		t.Fatalf("takeover: %+v", second)
	}
	s.apply("a", jobRecord("j", 1, false))
	if _, ok := s.apply("a", intent(first.Token, "j", 0, 1))[0].(RecordIgnored); !ok {
		t.Fatal("intent of the former owner had effect")
	}
	if _, ok := s.apply("a", intent(second.Claim.Token, "j", 0, 1))[0].(RecordIgnored); !ok {
		t.Fatal("intent of another node under the owner's token had effect")
	}
	if e := s.apply("b", intent(second.Claim.Token, "j", 0, 1))[0].(IntentsApplied); len(e.Effective) != 1 {
		t.Fatalf("intent of the owner: %+v", e)
	}
}

// Guards against a second start of a non-idempotent task, and a start after
// the cancellation.
func TestIntentIsEffectiveOnce(t *testing.T) {
	s := newScene(t)
	token := s.apply("a", join(), claim("s", 0))[1].(ClaimEffective).Claim.Token
	s.apply("a", jobRecord("j", 3, false), jobRecord("i", 1, true))
	for _, step := range []struct {
		job            string
		index, attempt int32
		effective      bool
	}{
		{"j", 0, 1, true}, {"j", 0, 1, false}, {"j", 0, 2, true}, {"j", 0, 1, false},
		{"j", 3, 1, false}, {"i", 0, 1, false}, {"x", 0, 1, false},
	} {
		e := s.apply("a", intent(token, step.job, step.index, step.attempt))[0].(IntentsApplied)
		if (len(e.Effective) == 1) != step.effective || len(e.Effective)+len(e.Ignored) != 1 {
			t.Fatalf("%+v: %+v", step, e)
		}
	}
	s.apply("a", &ledgerv1.Record{Kind: &ledgerv1.Record_JobCancelled{JobCancelled: &ledgerv1.JobCancelled{Job: "j"}}})
	if e := s.apply("a", intent(token, "j", 1, 1))[0].(IntentsApplied); len(e.Effective) != 0 {
		t.Fatal("intent after the cancellation had effect")
	}
}

// Guards against an eviction of a member that has renewed, a rejoin that keeps
// its old place, and a history of member sets with holes.
func TestMembers(t *testing.T) {
	s := newScene(t)
	s.apply("a", join()) // 1
	s.apply("b", join()) // 2
	s.apply("b", renewal())
	if _, ok := s.apply("a", evict("b", 2))[0].(RecordIgnored); !ok {
		t.Fatal("evicted a member that had renewed")
	}
	if e, ok := s.apply("a", evict("b", 3))[0].(MemberLeft); !ok || !e.Evicted { // 5
		t.Fatal("silent member was not evicted")
	}
	if _, ok := s.apply("b", renewal())[0].(RecordIgnored); !ok {
		t.Fatal("renewal of an evicted member had effect")
	}
	if _, ok := s.apply("b", join())[0].(RecordIgnored); !ok { // 7
		t.Fatal("evicted process rejoined under its old incarnation")
	}
	if e := s.applyAs("b", 2, join())[0].(MemberJoined); e.Member.JoinNumber != 3 { // 8
		t.Fatalf("rejoined with number %d, want 3", e.Member.JoinNumber)
	}
	sets := s.state.Book.State().Sets
	want := []ownership.MemberSet{{From: 1, Names: []string{"a"}}, {From: 2, Names: []string{"a", "b"}},
		{From: 5, Names: []string{"a"}}, {From: 8, Names: []string{"a", "b"}}}
	if !reflect.DeepEqual(sets, want) {
		t.Fatalf("member sets: %v, want %v", sets, want)
	}
}

// Guards against a job that runs twice under one id, or is replaced by another.
func TestJobIdentity(t *testing.T) {
	s := newScene(t)
	if _, ok := s.apply("a", jobRecord("j", 2, true))[0].(JobAccepted); !ok {
		t.Fatal("job was not accepted")
	}
	if _, ok := s.apply("b", jobRecord("j", 2, true))[0].(JobDuplicate); !ok {
		t.Fatal("equal job was not recognised")
	}
	if _, ok := s.apply("b", jobRecord("j", 3, true))[0].(JobConflict); !ok {
		t.Fatal("different job was not refused")
	}
	if _, ok := s.apply("b", jobRecord("k", 0, true))[0].(JobRefused); !ok {
		t.Fatal("job without tasks was accepted")
	}
	bad := jobRecord("k", 4, true)
	bad.GetJobAccepted().Parts[0].Count = 3
	if _, ok := s.apply("b", bad)[0].(JobRefused); !ok {
		t.Fatal("job whose parts leave a task out was accepted")
	}
}

// Guards against a task that moves after its start, or that two shards or none
// count as theirs.
func TestMove(t *testing.T) {
	s := newScene(t)
	token := s.apply("a", join(), claim("s", 0))[1].(ClaimEffective).Claim.Token
	s.apply("a", jobRecord("j", 6, false), intent(token, "j", 2, 1))
	move := func(token uint64, first, count int32) Event {
		return s.apply("a", &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
			Job: "j", First: first, Count: count, From: "s", To: "z", Token: token}}})[0]
	}
	for _, step := range []struct {
		token        uint64
		first, count int32
		moves        bool
	}{
		{token + 1, 0, 1, false}, {token, 0, 3, false}, {token, 5, 2, false}, {token, 4, 0, false},
		{token, 4, 2, true}, {token, 4, 1, false}, {token, 3, 1, true}, {token, 0, 2, true},
	} {
		if _, ok := move(step.token, step.first, step.count).(TasksMoved); ok != step.moves {
			t.Fatalf("%+v had the other end; parts %v", step, s.state.Jobs["j"].Parts)
		}
	}
	want := []Part{{"z", 0, 2}, {"s", 2, 1}, {"z", 3, 3}}
	if parts := s.state.Jobs["j"].Parts; !reflect.DeepEqual(parts, want) {
		t.Fatalf("parts %v, want %v", parts, want)
	}
	s.apply("a", jobRecord("k", 1, true))
	s.apply("a", &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
		Job: "k", Count: 1, From: "s", To: "z", Token: token}}})
	if len(s.state.open["s"]) != 1 || len(s.state.open["z"]) != 2 {
		t.Fatalf("open jobs %v, want j in both shards and k in z", s.state.open)
	}
}

// Guards against unbounded memory for finished jobs.
func TestFinishedJobsAreBounded(t *testing.T) {
	s := newScene(t)
	for i := range MaxFinishedJobs + 10 {
		id := work.JobID(string(rune('a'+i%26)) + string(rune('0'+i/26%1000)) + string(rune('0'+i/26000)))
		s.apply("a", jobRecord(string(id), 1, true), &ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{
			Outcomes: &ledgerv1.Outcomes{Job: string(id), Ranges: []*ledgerv1.OutcomeRange{{Count: 1, Outcome: 1}}}}})
	}
	texts := 0
	for _, job := range s.state.Jobs {
		texts += textOf(&job.Job)
	}
	if len(s.state.Jobs) != MaxFinishedJobs || len(s.state.Ended) != MaxFinishedJobs || s.state.openJobs != 0 ||
		s.state.jobTexts != texts {
		t.Fatalf("%d jobs, %d finished, %d open", len(s.state.Jobs), len(s.state.Ended), s.state.openJobs)
	}
}

// Guards against a damaged snapshot that is taken over or ends the process.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := newScene(t)
	s.apply("a", join(), claim("s", 0), jobRecord("j", 2, true))
	data := mustSnapshot(t, s.state)
	for i := range data {
		damaged := append([]byte{}, data...)
		damaged[i] ^= 0x55
		// A changed gzip header may leave the content intact.
		if _, err := FromSnapshot(testOptions(), damaged); err != nil && !errors.Is(err, ErrSnapshot) {
			t.Fatalf("byte %d: %v", i, err)
		}
		if _, err := FromSnapshot(testOptions(), data[:i]); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

// Guards against a snapshot put together from chunks of two.
func TestAssemblerFindsTheNewestCompleteSnapshot(t *testing.T) {
	big := make([]byte, 2*ChunkBytes+1)
	var a Assembler
	add := func(sequence uint64, c *ledgerv1.SnapshotChunk) {
		a.Add(marshalBatch(t, "n", sequence, &ledgerv1.Record{Kind: &ledgerv1.Record_SnapshotChunk{SnapshotChunk: c}}))
	}
	one, two, three := Chunks("1", 10, big), Chunks("2", 20, big), Chunks("3", 30, []byte("x"))
	for i, c := range []*ledgerv1.SnapshotChunk{one[0], one[0], one[1], two[0], one[2], two[1], two[1], two[2]} {
		add(uint64(i), c)
	}
	if a.Offset != 20 || len(a.Data) != len(big) {
		t.Fatalf("found offset %d with %d bytes", a.Offset, len(a.Data))
	}
	add(9, three[0])
	if a.Offset != 30 || string(a.Data) != "x" {
		t.Fatalf("found offset %d with %d bytes", a.Offset, len(a.Data))
	}
}
