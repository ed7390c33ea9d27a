package ownership

import (
	"testing"
	"time"
)

// peerState is what node p has read: its Join at offset 3 and a claim of y at
// offset 7 that superseded x.
func peerState(join bool) State {
	b := NewBook()
	b.Join(1, Identity{"x", 1}, "a")
	b.Join(2, Identity{"y", 1}, "a")
	if join {
		b.Join(3, Identity{"p", 2}, "a")
	}
	b.Claim(5, Identity{"x", 1}, modelShard, 0)
	b.Claim(7, Identity{"y", 1}, modelShard, 5)
	b.Read(8)
	return b.State()
}

func acknowledges(m *Manager, now time.Duration) bool {
	for _, a := range m.Handle(now, AckRequested{1, "y", ShardToken{modelShard, 7}}) {
		if r, ok := a.(AckReply); ok {
			return r.Acknowledged
		}
	}
	return false
}

func confirms(m *Manager, now time.Duration, token uint64) bool {
	for _, a := range m.Handle(now, ConfirmRequested{1, Identity{"x", 1}, []ShardToken{{modelShard, token}, {"a/1", 6}}}) {
		if r, ok := a.(ConfirmReply); ok {
			return r.Confirmed
		}
	}
	return false
}

const boot = 10 * time.Second

func newPeer() *Manager {
	return New(Config{Self: Identity{"p", 2}, Zone: "a", Nodes: 3, Started: boot})
}

// Guards against a restarted node that acknowledges although it confirmed the
// older token just before its restart.
func TestRestartedNodeWaitsBeforeItAcknowledges(t *testing.T) {
	m := newPeer()
	m.Handle(boot, LedgerRead{peerState(true)})
	if acknowledges(m, boot+PromiseTime-1) {
		t.Fatal("acknowledged while an earlier promise may run")
	}
	if !acknowledges(m, boot+PromiseTime) {
		t.Fatal("not acknowledged after every earlier promise has ended")
	}
}

// Guards against a restarted node that confirms a token although it
// acknowledged a later claim before its restart.
func TestNodeConfirmsOnlyAfterItsJoin(t *testing.T) {
	m := newPeer()
	if confirms(m, boot+time.Minute, 5) {
		t.Fatal("confirmed with nothing read")
	}
	m.Handle(boot+time.Minute, LedgerRead{peerState(false)})
	if confirms(m, boot+time.Minute, 5) {
		t.Fatal("confirmed without its own join")
	}
	m.Handle(boot+time.Minute, LedgerRead{peerState(true)})
	if !confirms(m, boot+time.Minute, 7) {
		t.Fatal("not confirmed although the log is away and one token is not superseded")
	}
}

// Guards against a confirmation while the log answers.
func TestNoConfirmationWhileLogAnswers(t *testing.T) {
	m := newPeer()
	m.Handle(boot, LedgerRead{peerState(true)})
	m.Handle(boot+time.Minute, LogContact{})
	if confirms(m, boot+time.Minute+OutageAfter-1, 7) {
		t.Fatal("confirmed within OutageAfter of a contact")
	}
}

// Guards against an append or an acknowledgement that breaks a promise.
func TestPromiseDelaysAppendsAndAcknowledgements(t *testing.T) {
	m := newPeer()
	m.Handle(boot, LedgerRead{peerState(true)})
	now := boot + time.Minute
	if !confirms(m, now, 7) {
		t.Fatal("not confirmed")
	}
	if m.AppendsAllowed(now+PromiseTime-1) || acknowledges(m, now+PromiseTime-1) {
		t.Fatal("promise broken")
	}
	if !m.AppendsAllowed(now+PromiseTime) || !acknowledges(m, now+PromiseTime) {
		t.Fatal("promise without end")
	}
}

// Guards against a claimant that forgets the holder before the last one.
func TestHoldersStayUntilProvedToHaveGivenUp(t *testing.T) {
	b := NewBook()
	for i, node := range []string{"w", "x", "y"} {
		b.Join(uint64(i+1), Identity{node, 1}, "a")
	}
	b.Claim(4, Identity{"w", 1}, modelShard, 0)
	b.Claim(6, Identity{"x", 1}, modelShard, 4)
	b.Claim(8, Identity{"y", 1}, modelShard, 6)
	holders := func() int { return len(b.State().Holdings[modelShard].Previous) }
	if holders() != 2 {
		t.Fatalf("%d holders after two takeovers", holders())
	}
	b.Renew(9, Identity{"w", 1}, 6)
	if holders() != 2 {
		t.Fatal("a holder that has not read the claim is dropped")
	}
	b.Renew(10, Identity{"w", 1}, 7)
	if holders() != 1 {
		t.Fatal("a holder that has read the claim stays")
	}
	b.Evict(11, Identity{"w", 1}, Identity{"x", 1}, 2)
	b.Join(12, Identity{"x", 2}, "a")
	if h := b.State().Holdings[modelShard].Previous; len(h) != 1 || !h[0].Rejoined {
		t.Fatalf("%+v", h)
	}
}

// Guards against a shard that nobody acts on, because authority lapsed while
// the dispatcher was handing it over.
func TestLapseCancelsHandover(t *testing.T) {
	w, owner := settled(t)
	m := w.nodes[owner].m
	handedOver := false
	for _, a := range m.Handle(w.now, Drain{}) {
		_, ok := a.(HandOver)
		handedOver = handedOver || ok
	}
	if !handedOver {
		t.Fatal("no handover")
	}
	w.now += LogAuthority
	m.Handle(w.now, Tick{})
	if got := m.records[modelShard].phase; got != phaseHeld {
		t.Fatalf("phase %d after the lapse", got)
	}
	if _, _, ok := m.Authority(modelShard, w.now); ok {
		t.Fatal("authority after the lapse")
	}
}
