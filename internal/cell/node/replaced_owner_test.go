package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a task that runs twice: the last heartbeat of a killed process is stored behind
// those of its successor, which owns the cell and then counted as replaced while it acted.
func TestLateHeartbeatReplacesNoLivingOwner(t *testing.T) {
	n := newUnconnectedNode(t)
	living := membership.Node{Name: "n2", InstanceID: "later", Address: "10.0.0.2:7420", Heartbeat: 1}
	late := membership.Node{Name: "n2", InstanceID: "killed", Address: "10.0.0.2:7420", Heartbeat: 9}
	for offset, r := range []membership.Node{living, late} {
		n.applyNodes(worklog.Page{Records: []platform.Record{recordAt(uint64(offset+1), membership.Record(r))}})
	}
	owner := registry.Ownership{Node: living.Name, InstanceID: living.InstanceID, Token: 4, Reconciled: true}
	if previousOwnerGone(owner, n.self, n.members.Nodes()) {
		t.Error("the living owner counts as gone")
	}
	v := electionInput{owner: owner, nodes: n.members.Nodes(), asOf: time.Second}
	if v.ownershipFree() {
		t.Error("the ownership of the living owner counts as free")
	}
}

// Guards against a cell that waits for the silence of an owner whose process has been killed and
// replaced, and then 4 s more for hosts that do not answer.
func TestProcessAnnouncesTheOneThatItReplaces(t *testing.T) {
	n := newUnconnectedNode(t)
	n.self.Address = "10.0.0.1:7420" // as in Run, which has bound it
	killed := membership.Node{Name: n.self.Name, InstanceID: "killed", Address: n.self.Address}
	n.applyNodes(worklog.Page{NewestOnly: true, Records: []platform.Record{recordAt(1, membership.Record(killed))}})
	if !n.restarted.Load() {
		t.Error("the node does not know that it has restarted")
	}
	owner := registry.Ownership{Node: killed.Name, InstanceID: killed.InstanceID, Token: 4, Reconciled: true}
	if !previousOwnerGone(owner, n.selfAsReplacement(), nil) {
		t.Error("the killed owner does not count as gone for the process that replaced it")
	}
	nodes := map[string]membership.Node{n.self.Name: n.selfDescription()}
	if !previousOwnerGone(owner, membership.Node{Name: "n2"}, nodes) || !(electionInput{owner: owner, nodes: nodes}).ownershipFree() {
		t.Error("the killed owner does not count as gone for another node")
	}
}

// Guards against a task that runs twice: a machine is replaced by starting the new process of its
// node first, and the former one owns the cell until it is stopped.
func TestProcessAtAnotherAddressReplacesNoOwner(t *testing.T) {
	n := newUnconnectedNode(t)
	n.self.Address = "10.0.0.2:7420"
	former := membership.Node{Name: n.self.Name, InstanceID: "former", Address: "10.0.0.1:7420"}
	n.applyNodes(worklog.Page{NewestOnly: true, Records: []platform.Record{recordAt(1, membership.Record(former))}})
	owner := registry.Ownership{Node: former.Name, InstanceID: former.InstanceID, Token: 4, Reconciled: true}
	nodes := map[string]membership.Node{n.self.Name: n.selfDescription()}
	if previousOwnerGone(owner, n.selfDescription(), nil) || previousOwnerGone(owner, membership.Node{Name: "n2"}, nodes) {
		t.Error("the owner counts as gone while its process may run")
	}
	if (electionInput{owner: owner, nodes: nodes}).ownershipFree() {
		t.Error("the ownership counts as free while its process may run")
	}
}
