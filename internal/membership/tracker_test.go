package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

func peers(n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{fmt.Sprintf("n%02d", i), 1})
	}
	return out
}

// run lets time pass in ticks of 250 ms and answers exchanges through answer.
func run(t *Tracker, from, to time.Duration, answer func(Exchange) *peerv1.ExchangeResponse) map[string]int {
	sent := map[string]int{}
	for now := from; now < to; now += 250 * time.Millisecond {
		for _, a := range t.Handle(now, Tick{}) {
			e, ok := a.(Exchange)
			if !ok {
				continue
			}
			sent[e.To]++
			if r := answer(e); r != nil {
				t.Handle(now, Answered{e.To, e.ID, r})
			} else {
				t.Handle(now, Failed{e.To, e.ID})
			}
		}
	}
	return sent
}

func alive(e Exchange) *peerv1.ExchangeResponse {
	return &peerv1.ExchangeResponse{Node: e.To, Incarnation: 1, LogReachable: true, ReadOffset: 5}
}

// Guards against a cost per node that grows with the number of nodes, and
// against a peer that is left out.
func TestCostPerNodeIsConstant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "nodes")
		tr := New(Peer{"n00", 1}, 0)
		tr.Handle(0, PeersKnown{peers(n)})
		span := 64 * time.Second
		total := 0
		sent := run(tr, time.Second, time.Second+span, alive)
		for _, c := range sent {
			total += c
		}
		if bound := PerInterval * int(span/Interval); total > bound || len(sent) != n-1 {
			rt.Fatalf("%d exchanges with %d of %d peers, bound %d", total, len(sent), n-1, bound)
		}
	})
}

// Guards against 8 nodes that hear from each other less than every 2 s.
func TestEightNodesExchangeEveryTwoSeconds(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersKnown{peers(8)})
	for node, n := range run(tr, 2*time.Second, 42*time.Second, alive) {
		if n < 20 {
			t.Errorf("%s was asked %d times in 40 s", node, n)
		}
	}
}

// Guards against a dead peer that stays alive here, or one that never returns.
func TestSilentPeerIsSuspectedAndReturns(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersKnown{peers(3)})
	run(tr, 0, 5*time.Second, alive)
	dead := func(e Exchange) *peerv1.ExchangeResponse {
		if e.To == "n01" {
			return nil
		}
		return alive(e)
	}
	run(tr, 5*time.Second, 8*time.Second, dead)
	if s := tr.Views()[0].Status; s != Suspect {
		t.Fatalf("after 3 s: %v", s)
	}
	run(tr, 8*time.Second, 12*time.Second, dead)
	if s := tr.Views()[0].Status; s != Unreachable {
		t.Fatalf("after 7 s: %v", s)
	}
	run(tr, 12*time.Second, 14*time.Second, alive)
	if s := tr.Views()[0].Status; s != Alive {
		t.Fatalf("after its return: %v", s)
	}
}

// Guards against an old proof that counts as a new one.
func TestConfigurationIsFreshOnlyWithRecentProof(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersKnown{peers(2)})
	tr.Handle(0, LogRead{3, 1})
	check := func(now time.Duration, want bool) {
		t.Helper()
		if got, why := tr.ConfigFresh(now); got != want {
			t.Fatalf("at %v: %v %s", now, got, why)
		}
	}
	check(5*time.Second, true)
	check(5*time.Second+1, false)
	run(tr, 6*time.Second, 6*time.Second+1, func(e Exchange) *peerv1.ExchangeResponse {
		r := alive(e)
		r.LogContactAgeMillis = 2000
		return r
	})
	check(9*time.Second, true)
	check(9*time.Second+1, false)
	tr.Handle(10*time.Second, Asked{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, LogReachable: true}})
	check(10*time.Second, false)
	tr.Handle(10*time.Second, OutageConfirmed{13 * time.Second})
	check(12*time.Second, true)
	tr.Handle(12*time.Second, Asked{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, ReadOffset: 9, Revision: 2}})
	check(12*time.Second, false)
}

// Guards against a fresh node that serves while a peer has read further, and
// against words of an earlier incarnation.
func TestFreshNodeCatchesUpFirst(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersKnown{peers(2)})
	tr.Handle(0, LogRead{3, 1})
	run(tr, time.Second, 3*time.Second, alive)
	if tr.CaughtUp() {
		t.Fatal("caught up at offset 3 of 5")
	}
	tr.Handle(3*time.Second, LogRead{5, 1})
	if !tr.CaughtUp() {
		t.Fatal("not caught up at offset 5")
	}
	tr.Handle(3*time.Second, Asked{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 2, ReadOffset: 4}})
	tr.Handle(3*time.Second, Asked{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, ReadOffset: 99, Revision: 9}})
	if v := tr.Views()[0]; v.ReadOffset != 4 || v.Incarnation != 2 || tr.HighestRevision() != 1 {
		t.Fatalf("an old incarnation was believed: %+v", v)
	}
}
