package ownership

import "testing"

// quiesceRequested reports whether the actions contain a QuiesceShard.
func quiesceRequested(actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(QuiesceShard); ok {
			return true
		}
	}
	return false
}

// Guards against a shard that stays between its owner and a successor for as long
// as the owner has authority, because its dispatcher could not be quiesced in
// time.
func TestFailedQuiesceKeepsShard(t *testing.T) {
	model, _ := newModelWithOwner(t)
	for range 20 { // The others must be older than JoinGracePeriod.
		model.step(-1)
	}
	owner := nodeIndex(model.stateMachine.state.Holdings[modelShard].Owner.Node)
	m, now := model.nodes[owner].m, model.now
	token, _, ok := m.Authority(modelShard, now)
	if !ok {
		t.Fatal("the owner has no authority")
	}
	// Another node is preferred now, as this one has another zone.
	members := model.stateMachine.state.Members
	for i := range members {
		if members[i].Identity == model.id(owner) {
			members[i].Zone = "b"
		}
	}
	if !quiesceRequested(m.Handle(now, LedgerRead{model.stateMachine.State()})) {
		t.Fatal("no transfer begins")
	}
	failed := QuiesceFailed{ShardToken{modelShard, token}}
	if quiesceRequested(m.Handle(now, failed)) {
		t.Error("the transfer is tried again at once")
	}
	if _, _, ok := m.Authority(modelShard, now); !ok {
		t.Error("the shard is not held any more")
	}
	ownerNow := func() Identity { return model.stateMachine.state.Holdings[modelShard].Owner }
	for ownerNow() == model.id(owner) && model.now < now+2*minHoldDuration {
		model.step(-1)
	}
	if d := model.now - now; d < minHoldDuration || ownerNow() == model.id(owner) {
		t.Errorf("after %s the owner is %v", d, ownerNow())
	}
}

// Guards against a leaving node that waits before it tries a failed transfer again.
func TestLeavingNodeQuiescesAgain(t *testing.T) {
	model, owner := newModelWithOwner(t)
	m := model.nodes[owner].m
	token, _, _ := m.Authority(modelShard, model.now)
	if !quiesceRequested(m.Handle(model.now, Drain{})) {
		t.Fatal("no transfer begins")
	}
	if !quiesceRequested(m.Handle(model.now, QuiesceFailed{ShardToken{modelShard, token}})) {
		t.Error("the transfer is not tried again")
	}
}
