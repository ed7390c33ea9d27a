package node

import (
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a queue that shows no waiting work once an operator has renamed it, although
// accepted work waits at its path.
func TestRenamedQueueShowsItsWaitingWork(t *testing.T) {
	a := newAdmissionCell(t)
	queue := cell.Queue{Name: "r", Host: "h.example", PathPrefix: "/q/", Service: "s"}
	for _, id := range []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f9"} { // the team may run one task at a time
		s := oneTask(id)
		s.Queue, s.Steps = queue.Snapshot(), []cell.Step{{Count: 60, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 64}, Estimate: time.Second}}
		a.store.Put(platform.TopicWork, registry.SubmissionKey(id), registry.SubmissionRecord(s).Value)
	}
	showsOne := func() bool {
		_, body := a.call("GET", "")
		return body == `{"pending":1}`
	}
	a.waitFor("one submission has begun, the other one waits", 20*time.Second, showsOne)
	a.store.Put(platform.TopicDesired, platform.KeyDesired, []byte(strings.NewReplacer(`"version":1`, `"version":2`, `"name":"r"`, `"name":"renamed"`).Replace(admissionCellDesired)))
	a.waitFor("the new version is in force", 20*time.Second, func() bool {
		d, _ := a.node.Desired()
		return d.Version == 2
	})
	if !showsOne() {
		_, body := a.call("GET", "")
		t.Errorf("the renamed queue shows %s", body)
	}
}
