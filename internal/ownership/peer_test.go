package ownership

import (
	"testing"
	"time"
)

// peerState is the state that node p has read: its own Join at offset 3, if join
// is true, and a claim of y at offset 7 that superseded the claim of x.
func peerState(join bool) State {
	b := NewStateMachine()
	b.Join(1, Identity{"x", 1}, "a")
	b.Join(2, Identity{"y", 1}, "a")
	if join {
		b.Join(3, Identity{"p", 2}, "a")
	}
	b.Claim(5, Identity{"x", 1}, modelShard, 0)
	b.Claim(7, Identity{"y", 1}, modelShard, 5)
	b.SetReadOffset(8)
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

const startTime = 10 * time.Second

func newPeerManager() *Manager {
	return New(Config{Self: Identity{"p", 2}, Zone: "a", Nodes: 3, Started: startTime})
}

// Guards against a restarted node that acknowledges a claim although it
// confirmed the older token just before its restart.
func TestRestartedNodeWaitsBeforeItAcknowledges(t *testing.T) {
	m := newPeerManager()
	m.Handle(startTime, LedgerRead{peerState(true)})
	if acknowledges(m, startTime+PromiseDuration-1) {
		t.Fatal("acknowledged while an earlier promise may be in force")
	}
	if !acknowledges(m, startTime+PromiseDuration) {
		t.Fatal("not acknowledged after every earlier promise has ended")
	}
}

// Guards against a restarted node that confirms a token although it
// acknowledged a later claim before its restart.
func TestNodeConfirmsOnlyAfterItsJoin(t *testing.T) {
	m := newPeerManager()
	if confirms(m, startTime+time.Minute, 5) {
		t.Fatal("confirmed with nothing read")
	}
	m.Handle(startTime+time.Minute, LedgerRead{peerState(false)})
	if confirms(m, startTime+time.Minute, 5) {
		t.Fatal("confirmed without its own join")
	}
	m.Handle(startTime+time.Minute, LedgerRead{peerState(true)})
	if !confirms(m, startTime+time.Minute, 7) {
		t.Fatal("not confirmed although the log is unreachable and one token is not superseded")
	}
}

// Guards against a confirmation while the log answers.
func TestNoConfirmationWhileLogAnswers(t *testing.T) {
	m := newPeerManager()
	m.Handle(startTime, LedgerRead{peerState(true)})
	m.Handle(startTime+time.Minute, LogContact{})
	if confirms(m, startTime+time.Minute+OutageThreshold-1, 7) {
		t.Fatal("confirmed within OutageThreshold of a contact")
	}
}

// Guards against an append or an acknowledgement that breaks a promise.
func TestPromiseDelaysAppendsAndAcknowledgements(t *testing.T) {
	m := newPeerManager()
	m.Handle(startTime, LedgerRead{peerState(true)})
	now := startTime + time.Minute
	if !confirms(m, now, 7) {
		t.Fatal("not confirmed")
	}
	if m.OwnershipAppendsAllowed(now+PromiseDuration-1) || acknowledges(m, now+PromiseDuration-1) {
		t.Fatal("append or acknowledgement allowed while the promise is in force")
	}
	if !m.OwnershipAppendsAllowed(now+PromiseDuration) || !acknowledges(m, now+PromiseDuration) {
		t.Fatal("append or acknowledgement refused after the promise has ended")
	}
}

// Guards against a claim that drops an earlier holder of the shard although that
// holder is not proved to have given up its token.
func TestPreviousHoldersKeptUntilProvedEnded(t *testing.T) {
	b := NewStateMachine()
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
		t.Fatal("a holder that has read the claim is kept")
	}
	b.Evict(11, Identity{"w", 1}, Identity{"x", 1}, 2)
	b.Join(12, Identity{"x", 2}, "a")
	if h := b.State().Holdings[modelShard].Previous; len(h) != 1 || !h[0].Rejoined {
		t.Fatalf("%+v", h)
	}
}

// Guards against a shard that no node acts on because the owner's authority
// expired during a transfer.
func TestAuthorityExpiryCancelsTransfer(t *testing.T) {
	model, owner := newModelWithOwner(t)
	m := model.nodes[owner].m
	handedOver := false
	for _, a := range m.Handle(model.now, Drain{}) {
		_, ok := a.(QuiesceShard)
		handedOver = handedOver || ok
	}
	if !handedOver {
		t.Fatal("no transfer was started")
	}
	model.now += RenewalValidity
	m.Handle(model.now, Tick{})
	if got := m.shardStates[modelShard].phase; got != phaseHeld {
		t.Fatalf("phase %d after the authority expired", got)
	}
	if _, _, ok := m.Authority(modelShard, model.now); ok {
		t.Fatal("the owner still has authority after it expired")
	}
}
