package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a node on which newer versions of the desired state come into force
// only after its owner has loaded all submissions or has ended a long decision.
func TestDesiredStateIsReadWhileTheOwnerIsBusy(t *testing.T) {
	n := newUnconnectedNode(t)
	n.mu.Lock() // as while a term begins
	defer n.mu.Unlock()
	applied := make(chan struct{})
	go func() {
		for version := 1; version <= 2; version++ {
			value := fmt.Appendf(nil, `{"version":%d}`, version)
			n.applyDesired(worklog.Page{Records: []platform.Record{{Key: platform.KeyDesired, Value: value}}})
		}
		close(applied)
	}()
	select {
	case <-applied:
	case <-time.After(5 * time.Second):
		t.Fatal("the reader of the desired state waits for the owner")
	}
	if got := n.appliedDesired(); got == nil || got.Version != 2 {
		t.Errorf("the applied desired state is %+v, want version 2", got)
	}
}
