package ledger

import (
	"fmt"
	"testing"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// loadedState returns a state with one shard "s" that node "a" owns, one limit, and
// the given number of unfinished jobs of ten tasks each. The token is that of the
// shard.
func loadedState(b *testing.B, jobs int) (s *State, token uint64) {
	s = New(testOptions())
	apply := func(records ...*ledgerv1.Record) {
		if _, err := s.Apply(s.NextOffset, marshalBatch(b, "a", s.NextOffset, records...)); err != nil {
			b.Fatal(err)
		}
	}
	apply(join(), claim("s", 0), &ledgerv1.Record{Kind: &ledgerv1.Record_Publication{Publication: &ledgerv1.Publication{
		Id: "p", Changes: []*ledgerv1.ObjectChange{{Kind: "limit", Name: "l", Spec: []byte{200}}}}}})
	for i := range jobs {
		apply(jobRecord(fmt.Sprint("job-", i), 10, false))
	}
	return s, s.claimOf("s").Token
}

// BenchmarkApply measures how long it takes to apply a batch of one record to a
// state with 20,000 jobs, for each kind of record.
func BenchmarkApply(b *testing.B) {
	kinds := map[string]func(i int, token uint64) *ledgerv1.Record{
		"renewal": func(int, uint64) *ledgerv1.Record { return renewal() },
		"job":     func(i int, _ uint64) *ledgerv1.Record { return jobRecord(fmt.Sprint("new-", i), 10, false) },
		"intent": func(i int, token uint64) *ledgerv1.Record {
			return intent(token, fmt.Sprint("job-", i%20_000), int32(i/20_000%10), int32(1+i/200_000))
		},
		"outcomes": func(i int, token uint64) *ledgerv1.Record {
			return &ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{Outcomes: &ledgerv1.Outcomes{
				Shard: "s", Token: token, Job: fmt.Sprint("job-", i%20_000),
				Ranges: []*ledgerv1.OutcomeRange{{First: int32(i / 20_000 % 10), Count: 1, Outcome: 1}}}}}
		},
		"move": func(i int, token uint64) *ledgerv1.Record {
			return &ledgerv1.Record{Kind: &ledgerv1.Record_Move{Move: &ledgerv1.Move{
				Job: fmt.Sprint("job-", i%20_000), First: int32(i / 20_000 % 10), Count: 1, From: "s", To: "z", Token: token}}}
		},
		"transfer": func(i int, token uint64) *ledgerv1.Record {
			t := &ledgerv1.Transfer{Limit: "l", To: "s", Units: 1, Token: token}
			if i%2 == 1 {
				t.From, t.To = "s", ""
			}
			return &ledgerv1.Record{Kind: &ledgerv1.Record_Transfer{Transfer: t}}
		},
		"claim": func(i int, _ uint64) *ledgerv1.Record { return claim(fmt.Sprint("new-", i%4000), uint64(i)) },
		"publication": func(i int, _ uint64) *ledgerv1.Record {
			return &ledgerv1.Record{Kind: &ledgerv1.Record_Publication{Publication: &ledgerv1.Publication{
				Id: fmt.Sprint("new-", i), BaseRevision: uint64(i + 1),
				Changes: []*ledgerv1.ObjectChange{{Kind: "queue", Name: fmt.Sprint(i % 2000), Spec: []byte("{}")}}}}}
		},
	}
	for _, kind := range []string{"renewal", "job", "intent", "outcomes", "move", "transfer", "claim", "publication"} {
		b.Run(kind, func(b *testing.B) {
			s, token := loadedState(b, 20_000)
			start, payloads := s.NextOffset, make([][]byte, b.N)
			for i := range payloads {
				payloads[i] = marshalBatch(b, "a", start+uint64(i), kinds[kind](i, token))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i, payload := range payloads {
				if _, err := s.Apply(start+uint64(i), payload); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the encoding of a state with 20,000 jobs.
func BenchmarkSnapshot(b *testing.B) {
	s, _ := loadedState(b, 20_000)
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(len(encodeSnapshot(b, s))), "bytes")
	}
}

// BenchmarkRestore measures the decoding of a state with 20,000 jobs.
func BenchmarkRestore(b *testing.B) {
	s, _ := loadedState(b, 20_000)
	data := encodeSnapshot(b, s)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := FromSnapshot(testOptions(), data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClone measures the copy of a state with 20,000 jobs. A replica holds its
// lock for that long when it takes a snapshot.
func BenchmarkClone(b *testing.B) {
	s, _ := loadedState(b, 20_000)
	b.ReportAllocs()
	for b.Loop() {
		s.clone()
	}
}
