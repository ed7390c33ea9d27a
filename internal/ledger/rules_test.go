package ledger

import (
	"errors"
	"reflect"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// harness applies batches of several nodes to one state.
type harness struct {
	t     *testing.T
	state *State
}

func newHarness(t *testing.T) *harness { return &harness{t, New(testOptions())} }

// apply applies a batch of incarnation 1 of a node and returns the events of its
// records.
func (s *harness) apply(node string, records ...*ledgerv1.Record) []Event {
	s.t.Helper()
	return s.applyAs(node, 1, records...)
}

// applyAs is like apply for any incarnation of the node.
func (s *harness) applyAs(node string, incarnation uint64, records ...*ledgerv1.Record) []Event {
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

// Guards against two owners of one shard, which happens if a claim takes effect
// without naming the current token, and against records of a previous owner
// that still take effect.
func TestClaimRequiresCurrentToken(t *testing.T) {
	s := newHarness(t)
	s.apply("a", join())
	s.apply("b", join())
	if _, ok := s.apply("c", claim("s", 0))[0].(ClaimIgnored); !ok {
		t.Fatal("claim of a node that is not a member had effect")
	}
	first := s.apply("a", claim("s", 0))[0].(ClaimEffective).Claim
	if ignored, ok := s.apply("b", claim("s", 0))[0].(ClaimIgnored); !ok || ignored.Current != first {
		t.Fatalf("concurrent claim: %+v", ignored)
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

// Guards against a second start of the same attempt of a non-idempotent task, and
// against a start after the job was cancelled.
func TestIntentIsEffectiveOnce(t *testing.T) {
	s := newHarness(t)
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

// Guards against the eviction of a member that has renewed in the meantime, a
// rejoined node that keeps its old join number, and gaps in the history of member
// sets.
func TestMembershipChanges(t *testing.T) {
	s := newHarness(t)
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
	sets := s.state.Ownership.State().Sets
	want := []ownership.MemberSet{{From: 1, Names: []string{"a"}}, {From: 2, Names: []string{"a", "b"}},
		{From: 5, Names: []string{"a"}}, {From: 8, Names: []string{"a", "b"}}}
	if !reflect.DeepEqual(sets, want) {
		t.Fatalf("member sets: %v, want %v", sets, want)
	}
}

// Guards against a repeated submission that is accepted as a second job, a job that
// is replaced by another one with the same id, and the acceptance of invalid jobs.
func TestDuplicateAndInvalidJobs(t *testing.T) {
	s := newHarness(t)
	if _, ok := s.apply("a", jobRecord("j", 2, true))[0].(JobAccepted); !ok {
		t.Fatal("job was not accepted")
	}
	if _, ok := s.apply("b", jobRecord("j", 2, true))[0].(JobDuplicate); !ok {
		t.Fatal("equal job was not recognized as a duplicate")
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

// Guards against a task that is moved after it was started, or that belongs to two
// shards or to none after a move.
func TestMoveTasks(t *testing.T) {
	s := newHarness(t)
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
			t.Fatalf("%+v had the opposite result; parts %v", step, s.state.Jobs["j"].Parts)
		}
	}
	want := []Part{{"z", 0, 2}, {"s", 2, 1}, {"z", 3, 3}}
	if parts := s.state.Jobs["j"].Parts; !reflect.DeepEqual(parts, want) {
		t.Fatalf("parts %v, want %v", parts, want)
	}
	s.apply("a", jobRecord("k", 1, true))
	s.apply("a", &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
		Job: "k", Count: 1, From: "s", To: "z", Token: token}}})
	if len(s.state.openByShard["s"]) != 1 || len(s.state.openByShard["z"]) != 2 {
		t.Fatalf("open jobs %v, want j in both shards and k in z", s.state.openByShard)
	}
}

// Guards against finished jobs that are never removed and take unbounded memory.
func TestFinishedJobsAreBounded(t *testing.T) {
	s := newHarness(t)
	for i := range MaxFinishedJobs + 10 {
		id := work.JobID(string(rune('a'+i%26)) + string(rune('0'+i/26%1000)) + string(rune('0'+i/26000)))
		s.apply("a", jobRecord(string(id), 1, true), &ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{
			Outcomes: &ledgerv1.Outcomes{Job: string(id), Ranges: []*ledgerv1.OutcomeRange{{Count: 1, Outcome: 1}}}}})
	}
	texts := 0
	for _, job := range s.state.Jobs {
		texts += textBytes(&job.Job)
	}
	if len(s.state.Jobs) != MaxFinishedJobs || len(s.state.FinishedJobs) != MaxFinishedJobs || s.state.openJobCount != 0 ||
		s.state.jobTextBytes != texts {
		t.Fatalf("%d jobs, %d finished, %d open", len(s.state.Jobs), len(s.state.FinishedJobs), s.state.openJobCount)
	}
}

// Guards against a truncated snapshot that is accepted, and a corrupted one that
// crashes the process or fails with an error other than ErrInvalidSnapshot.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := newHarness(t)
	s.apply("a", join(), claim("s", 0), jobRecord("j", 2, true))
	data := encodeSnapshot(t, s.state)
	for i := range data {
		damaged := append([]byte{}, data...)
		damaged[i] ^= 0x55
		// A changed gzip header may leave the content intact.
		if _, err := FromSnapshot(testOptions(), damaged); err != nil && !errors.Is(err, ErrInvalidSnapshot) {
			t.Fatalf("byte %d: %v", i, err)
		}
		if _, err := FromSnapshot(testOptions(), data[:i]); !errors.Is(err, ErrInvalidSnapshot) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
}

// Guards against a snapshot that is assembled from chunks of two different
// snapshots, which can be interleaved and repeated in the log.
func TestAssemblerFindsTheNewestCompleteSnapshot(t *testing.T) {
	big := make([]byte, 2*MaxChunkBytes+1)
	var a Assembler
	add := func(sequence uint64, c *ledgerv1.SnapshotChunk) {
		a.Add(marshalBatch(t, "n", sequence, &ledgerv1.Record{Kind: &ledgerv1.Record_SnapshotChunk{SnapshotChunk: c}}))
	}
	one, two, three := Chunks("1", 10, big), Chunks("2", 20, big), Chunks("3", 30, []byte("x"))
	for i, c := range []*ledgerv1.SnapshotChunk{one[0], one[0], one[1], two[0], one[2], two[1], two[1], two[2]} {
		add(uint64(i), c)
	}
	if a.NextOffset != 20 || len(a.Data) != len(big) {
		t.Fatalf("found offset %d with %d bytes", a.NextOffset, len(a.Data))
	}
	add(9, three[0])
	if a.NextOffset != 30 || string(a.Data) != "x" {
		t.Fatalf("found offset %d with %d bytes", a.NextOffset, len(a.Data))
	}
}
