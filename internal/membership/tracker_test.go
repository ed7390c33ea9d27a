package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

func newPeers(n int) []Peer {
	var out []Peer
	for i := range n {
		out = append(out, Peer{fmt.Sprintf("n%02d", i), 1})
	}
	return out
}

// runTicks sends a Tick every 250 ms and answers exchanges with answer, where nil
// is a failure. It returns the number of exchanges with each peer.
func runTicks(t *Tracker, from, to time.Duration, answer func(Exchange) *peerv1.ExchangeResponse) map[string]int {
	sent := map[string]int{}
	for now := from; now < to; now += 250 * time.Millisecond {
		for _, a := range t.Handle(now, Tick{}) {
			e, ok := a.(Exchange)
			if !ok {
				continue
			}
			sent[e.To]++
			if r := answer(e); r != nil {
				t.Handle(now, ExchangeAnswered{e.To, e.ID, r})
			} else {
				t.Handle(now, ExchangeFailed{e.To, e.ID})
			}
		}
	}
	return sent
}

func aliveResponse(e Exchange) *peerv1.ExchangeResponse {
	return &peerv1.ExchangeResponse{Node: e.To, Incarnation: 1, LogReachable: true, ReadOffset: 5}
}

// Guards against a number of exchanges per node that grows with the number of
// nodes, and against a peer that is never asked.
func TestCostPerNodeIsConstant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(rt, "nodes")
		tr := New(Peer{"n00", 1}, 0)
		tr.Handle(0, PeersChanged{newPeers(n)})
		span := 64 * time.Second
		total := 0
		sent := runTicks(tr, time.Second, time.Second+span, aliveResponse)
		for _, c := range sent {
			total += c
		}
		if bound := ExchangesPerInterval * int(span/ExchangeInterval); total > bound || len(sent) != n-1 {
			rt.Fatalf("%d exchanges with %d of %d peers, bound %d", total, len(sent), n-1, bound)
		}
	})
}

// Guards against nodes of a cluster of 8 that exchange less often than every 2 s.
func TestEightNodesExchangeEveryTwoSeconds(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersChanged{newPeers(8)})
	for node, n := range runTicks(tr, 2*time.Second, 42*time.Second, aliveResponse) {
		if n < 20 {
			t.Errorf("%s was asked %d times in 40 s", node, n)
		}
	}
}

// Guards against a failed peer that keeps the status alive, and against a
// recovered peer that does not regain it.
func TestUnresponsivePeerIsSuspectedAndRecovers(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersChanged{newPeers(3)})
	runTicks(tr, 0, 5*time.Second, aliveResponse)
	dead := func(e Exchange) *peerv1.ExchangeResponse {
		if e.To == "n01" {
			return nil
		}
		return aliveResponse(e)
	}
	runTicks(tr, 5*time.Second, 8*time.Second, dead)
	if s := tr.Views()[0].Status; s != Suspect {
		t.Fatalf("after 3 s: %v", s)
	}
	runTicks(tr, 8*time.Second, 12*time.Second, dead)
	if s := tr.Views()[0].Status; s != Unreachable {
		t.Fatalf("after 7 s: %v", s)
	}
	runTicks(tr, 12*time.Second, 14*time.Second, aliveResponse)
	if s := tr.Views()[0].Status; s != Alive {
		t.Fatalf("after its recovery: %v", s)
	}
}

// Guards against a configuration that counts as fresh although the proof is too
// old or comes from a request instead of an answer.
func TestConfigurationIsFreshOnlyWithRecentProof(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersChanged{newPeers(2)})
	tr.Handle(0, LogRead{3, 1})
	check := func(now time.Duration, want bool) {
		t.Helper()
		if got, why := tr.ConfigFresh(now); got != want {
			t.Fatalf("at %v: %v %s", now, got, why)
		}
	}
	check(5*time.Second, true)
	check(5*time.Second+1, false)
	runTicks(tr, 6*time.Second, 6*time.Second+1, func(e Exchange) *peerv1.ExchangeResponse {
		r := aliveResponse(e)
		r.LogContactAgeMillis = 2000
		return r
	})
	check(9*time.Second, true)
	check(9*time.Second+1, false)
	tr.Handle(10*time.Second, RequestReceived{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, LogReachable: true}})
	check(10*time.Second, false)
	tr.Handle(10*time.Second, OutageConfirmed{13 * time.Second})
	check(12*time.Second, true)
	tr.Handle(12*time.Second, RequestReceived{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, ReadOffset: 9, Revision: 2}})
	check(12*time.Second, false)
}

// Guards against a new node that serves while a peer has read further in the log,
// and against reports of an earlier incarnation that are applied.
func TestNewNodeServesOnlyAfterCatchingUp(t *testing.T) {
	tr := New(Peer{"n00", 1}, 0)
	tr.Handle(0, PeersChanged{newPeers(2)})
	tr.Handle(0, LogRead{3, 1})
	runTicks(tr, time.Second, 3*time.Second, aliveResponse)
	if tr.CaughtUp() {
		t.Fatal("caught up at offset 3 of 5")
	}
	tr.Handle(3*time.Second, LogRead{5, 1})
	if !tr.CaughtUp() {
		t.Fatal("not caught up at offset 5")
	}
	tr.Handle(3*time.Second, RequestReceived{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 2, ReadOffset: 4}})
	tr.Handle(3*time.Second, RequestReceived{&peerv1.ExchangeRequest{Node: "n01", Incarnation: 1, ReadOffset: 99, Revision: 9}})
	if v := tr.Views()[0]; v.ReadOffset != 4 || v.Incarnation != 2 || tr.HighestRevision() != 1 {
		t.Fatalf("report of an earlier incarnation was applied: %+v", v)
	}
}
