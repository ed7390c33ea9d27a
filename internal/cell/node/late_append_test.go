package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// call calls the node as a caller of team a.
func (a *admissionCell) call(method, id string) (status int, body string) {
	r := httptest.NewRequest(method, "http://h.example/q/"+id, nil)
	r.Header.Set("Authorization", "Token key-a")
	w := httptest.NewRecorder()
	a.node.callerHandler.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// Guards against work that runs although its cancellation was acknowledged: the append of the
// submission, by another node, takes effect after the cancellation.
func TestSubmissionStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	const cancelled, other = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	a := newAdmissionCell(t)
	a.waitFor("the node reconciles its hosts as the owner", 20*time.Second, func() bool {
		o := a.node.owner()
		return o != nil && o.Reconciled()
	})
	if status, body := a.call("DELETE", cancelled); status != http.StatusAccepted {
		t.Errorf("the cancellation gets %d: %s", status, body)
	}
	for _, id := range []string{cancelled, other} {
		s := oneTask(id)
		s.Queue = cell.Queue{Name: "r", Service: "s"}
		a.store.Put(platform.TopicWork, registry.SubmissionKey(id), registry.SubmissionRecord(s).Value)
	}
	a.waitFor("the other submission, stored later, is completed", 20*time.Second, func() bool {
		_, body := a.call("GET", other)
		return strings.Contains(body, "completed")
	})
	if status, body := a.call("GET", cancelled); status != http.StatusOK || !strings.Contains(body, "cancelled") {
		t.Errorf("the state of the cancelled submission is %d: %s", status, body)
	}
	for _, run := range a.host.History() {
		if strings.HasPrefix(run.Task, cancelled) {
			t.Errorf("the cancelled submission was started: %+v", run)
		}
	}
}
