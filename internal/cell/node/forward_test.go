package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// Guards against a 503 to a forwarding node, which takes it as "nothing stored", while this node
// has an open append of the submission.
func TestDisconnectedNodeDoesNotRefuseWhatItMayStore(t *testing.T) {
	a := newAdmissionCell(t)
	a.waitFor("the node is connected", 20*time.Second, func() bool {
		d, ok := a.node.Desired()
		return d != nil && ok && !a.node.Disconnected()
	})
	a.store.SetFault(users.Unresponsive)
	const id = "00000000000000aa"
	done := make(chan struct{})
	go func() { defer close(done); a.postAs(id, 1) }()
	a.waitFor("the append is open", 10*time.Second, func() bool { return a.node.workAppender.MayStore(registry.SubmissionKey(id)) })
	a.waitFor("the node is disconnected", 20*time.Second, a.node.Disconnected)
	resp, err := a.node.Forward(t.Context(), &peers.CallRequest{Method: "POST", Host: "h.example", Path: "/q/" + id})
	if err != nil || resp.Status != 504 || !resp.NothingSent {
		t.Errorf("the repetition gets %+v, %v", resp, err)
	}
	resp, err = a.node.Forward(t.Context(), &peers.CallRequest{Method: "POST", Host: "h.example", Path: "/q/00000000000000ab"})
	if err != nil || resp.Status != 503 {
		t.Errorf("another submission gets %+v, %v", resp, err)
	}
	a.store.SetFault(users.NoFault)
	<-done
}
