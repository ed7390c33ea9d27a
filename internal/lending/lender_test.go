package lending

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against units that are idle in one shard while another shard waits for
// them; the target is less than 5 % of the limit.
func TestUnusableFractionInSteadyState(t *testing.T) {
	for _, shards := range []int{8, 24, 56} {
		for _, units := range []int64{120, 2000, 25000} {
			fraction, rate := simulateUnusableFraction(shards, units, 1)
			t.Logf("%d shards, %d units: %.2f %% unusable, %.2f transfers/s per shard", shards, units, 100*fraction, rate)
			if fraction >= 0.05 {
				t.Errorf("%d shards, %d units: %.2f %% unusable", shards, units, 100*fraction)
			}
		}
	}
}

func BenchmarkUnusableFraction(b *testing.B) {
	for _, shards := range []int{8, 24, 56} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			var total float64
			for i := range b.N {
				fraction, _ := simulateUnusableFraction(shards, 2000, uint64(i))
				total += fraction
			}
			b.ReportMetric(100*total/float64(b.N), "%unusable")
		})
	}
}

// Guards against grants that exceed the limit when appends are lost, delayed or
// repeated, readers lag, owners pause and shards are taken over.
func TestGrantsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 4).Draw(t, "shards")
		m := newLedgerModel(rapid.Int64Range(1, 40).Draw(t, "units"), shards)
		var sent []entry
		now := time.Duration(0)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, shards-1).Draw(t, "shard")
			s := &m.shards[i]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1: // Time passes for one owner; the others pause.
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond
				for _, tr := range m.decide(now, i, true) {
					sent = append(sent, entry{shard: i, token: s.token, Transfer: tr})
				}
			case 2:
				s.waiting = rapid.Int64Range(0, 40).Draw(t, "waiting")
				s.summary = Observation{Allotment: s.available(), Used: s.used, Waiting: s.waiting}
			case 3:
				s.used = max(s.used, min(s.used+s.waiting, s.available()))
			case 4:
				s.used = rapid.Int64Range(0, s.used).Draw(t, "left")
			case 5: // An append reaches the log; the answer, if any, follows at once.
				if len(sent) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(sent)-1).Draw(t, "append")
				e := sent[k]
				sent = append(sent[:k:k], sent[k+1:]...)
				if !e.sentTwice && rapid.IntRange(0, 9).Draw(t, "refused") == 0 {
					if e.token == m.shards[e.shard].token {
						m.shards[e.shard].lender.Refused(e.ID)
					}
					continue
				}
				m.log = append(m.log, e)
				if rapid.IntRange(0, 3).Draw(t, "again") == 0 {
					e.sentTwice = true
					sent = append(sent, e)
				}
				if rapid.Bool().Draw(t, "answered") && e.token == m.shards[e.shard].token {
					m.shards[e.shard].lender.Appended(e.ID, uint64(len(m.log)-1))
				}
			case 6:
				m.readTo(i, rapid.IntRange(s.readOffset, len(m.log)).Draw(t, "read"))
			case 7: // A takeover; the running tasks continue.
				m.log = append(m.log, entry{shard: i, token: uint64(len(m.log) + 1)})
				s.token, s.lender = uint64(len(m.log)), New()
				m.readTo(i, len(m.log))
			}
			var granted int64
			for j := range m.shards {
				granted += max(m.shards[j].used, m.shards[j].available())
			}
			if granted > m.units {
				t.Fatalf("%d granted of %d", granted, m.units)
			}
		}
	})
}

// Guards against transfers while the log is unreachable, and against a shard that
// holds less than its equal share when no shard waits.
func TestEqualSharesWhenIdleAndNoTransfersInOutage(t *testing.T) {
	m := newLedgerModel(80, 4)
	if got := m.decide(0, 0, false); len(got) != 0 {
		t.Fatalf("transfers without a log: %v", got)
	}
	for now := time.Duration(0); now < 30*time.Second; now += time.Second {
		for i := range m.shards {
			m.readTo(i, len(m.log))
			for _, tr := range m.decide(now, i, true) {
				m.shards[i].lender.Appended(tr.ID, uint64(len(m.log)))
				m.log = append(m.log, entry{shard: i, Transfer: tr})
			}
		}
	}
	_, allotments := m.stateAfter(len(m.log))
	for i, a := range allotments {
		if a != 20 {
			t.Errorf("shard %d holds %d of an equal share of 20", i, a)
		}
	}
	if before := len(m.log); before > 4*12 {
		t.Errorf("%d transfers until all shards hold their share", before)
	}
}
