package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
	"github.com/medlarpulley/medlarpulley/platform"
)

// admissionCellDesired is the desired state that an admissionCell begins with.
const admissionCellDesired = `{"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/q/","service":"s","priority":1,` +
	`"maxAttempts":3,"stretch":2,"targetLatencyMs":4000}],"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["key-a"],"weight":1000,"cap":{"cpu":1000,"memMb":8192}}]}`

// admissionCell is one node with a store and a host. Its team may use one core.
type admissionCell struct {
	t     *testing.T
	store *users.Store
	host  *users.Host
	node  *Node
	posts int
}

func newAdmissionCell(t *testing.T) *admissionCell {
	t.Helper()
	a := &admissionCell{t: t, store: users.NewStore()}
	t.Cleanup(a.store.Close)
	a.host = users.NewHost("i-0", time.Second, a.store)
	t.Cleanup(a.host.Close)
	a.store.Put(platform.TopicDesired, platform.KeyDesired, []byte(admissionCellDesired))
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store, s.Platform.Advice = a.store.Address(), "127.0.0.1:1" // no queue needs advice
	s.Scheduling.Admission = true
	var err error
	if a.node, err = New(s, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.node.self.Address = "127.0.0.1:1" // no other node is there
	a.node.startBackground(ctx)
	t.Cleanup(func() {
		a.node.draining.Store(true)
		cancel()
		if o := a.node.owner(); o != nil {
			o.Abort("the test ends")
		}
		a.node.termGoroutines.Wait()
		a.node.pool.Close()
	})
	return a
}

// post submits tasks of a second on one core under a new ID, and returns the status.
func (a *admissionCell) post(tasks int) (status int, retryAfter string) {
	a.posts++
	return a.postAs(fmt.Sprintf("%016x", a.posts), tasks)
}

func (a *admissionCell) postAs(id string, tasks int) (status int, retryAfter string) {
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":64,"estimateMs":1000}]}`, tasks)
	r := httptest.NewRequest("POST", "http://h.example/q/"+id, strings.NewReader(body))
	r.Header.Set("Authorization", "Token key-a")
	w := httptest.NewRecorder()
	a.node.callerHandler.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Retry-After")
}

// waitFor fails the test unless ok returns true within a time.
func (a *admissionCell) waitFor(what string, within time.Duration, ok func() bool) {
	a.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	a.t.Fatalf("not within %s: %s", within, what)
}

// overload submits work until a submission is refused. It returns the ID of that one.
func (a *admissionCell) overload() string {
	a.t.Helper()
	a.waitFor("the node reconciles its hosts as the owner", 20*time.Second, func() bool {
		o := a.node.owner()
		return o != nil && o.Reconciled()
	})
	a.waitFor("a submission is refused", 20*time.Second, func() bool {
		time.Sleep(100 * time.Millisecond) // a summary is published once a second
		status, retryAfter := a.post(100)
		if status == 429 && retryAfter == "" {
			a.t.Error("the refusal does not say when to come back")
		}
		return status == 429
	})
	id := fmt.Sprintf("%016x", a.posts)
	if _, found := a.node.registry.Find(id); found {
		a.t.Error("the refused submission is stored")
	}
	return id
}

// Guards against a summary that does not get from the owner through the log to a refusal, and
// one that stays in force when the owner is replaced.
func TestOwnerSummaryRefusesUntilTheOwnerChanges(t *testing.T) {
	a := newAdmissionCell(t)
	id := a.overload()
	o, _ := a.node.registry.Owner()
	a.node.draining.Store(true) // so that this node does not claim again
	a.store.Put(platform.TopicWork, "o", registry.OwnershipRecord(registry.Ownership{Node: "n2", InstanceID: "i", Token: o.Token + 1}).Value)
	a.waitFor("the new owner is read", 10*time.Second, func() bool { return a.node.owner() == nil })
	if status, _ := a.postAs(id, 1); status != 200 {
		t.Errorf("under the new owner the submission gets %d", status)
	}
}

// Guards against refusals on the last summary of an owner that has stopped to publish.
func TestOldSummaryRefusesNothing(t *testing.T) {
	a := newAdmissionCell(t)
	id := a.overload()
	a.node.draining.Store(true)
	a.node.owner().Abort("the test stops the owner")
	a.waitFor("the submission is accepted", 10*time.Second, func() bool {
		status, _ := a.postAs(id, 1)
		return status == 200
	})
	if l, ok := a.node.registry.Load(); !ok || len(l.Summary.Backlogs) == 0 {
		t.Errorf("the last summary is %+v, current %t: it was withdrawn, and not too old", l, ok)
	}
}

// Guards against a refusal that was not checked against the log, since the store does not
// respond, and against one that follows an unknown outcome.
func TestUnresponsiveStoreRefusesNothing(t *testing.T) {
	a := newAdmissionCell(t)
	id := a.overload()
	a.store.SetFault(users.Unresponsive)
	first, _ := a.postAs(id, 1)
	if first != 504 && first != 503 { // 503 if the check of the log took so long that nothing was sent to the store
		t.Errorf("while the store does not respond the submission gets %d", first)
	}
	a.store.SetFault(users.NoFault)
	a.waitFor("the submission is stored", 20*time.Second, func() bool {
		status, _ := a.postAs(id, 1)
		if status != 200 && status != 504 && status != first { // no 503 after a 504
			t.Errorf("after that the submission gets %d", status)
		}
		return status == 200
	})
}
