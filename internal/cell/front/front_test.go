package front

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

func TestFront(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "front")
}

// fakeNode is a node whose every answer is set by the test.
type fakeNode struct {
	desired      *cell.Desired
	fresh, cut   bool
	entries      map[string]registry.Entry
	catchUp      error
	append       func(ctx context.Context) error
	stored       []string
	forward      func() (*peers.ForwardResponse, error)
	forwardCalls int
}

func (n *fakeNode) Refresh(context.Context)               {}
func (n *fakeNode) Desired() (*cell.Desired, bool)        { return n.desired, n.fresh }
func (n *fakeNode) Find(id string) (registry.Entry, bool) { e, ok := n.entries[id]; return e, ok }
func (n *fakeNode) Pending(string) int                    { return 12 }
func (n *fakeNode) CatchUp(context.Context) error         { return n.catchUp }
func (n *fakeNode) Current() bool                         { return true }
func (n *fakeNode) Cut() bool                             { return n.cut }
func (n *fakeNode) Append(ctx context.Context, r platform.Record) error {
	if n.append != nil {
		if err := n.append(ctx); err != nil {
			return err
		}
	}
	n.stored = append(n.stored, r.Key)
	return nil
}
func (n *fakeNode) Forward(context.Context, *peers.ForwardRequest) (*peers.ForwardResponse, error) {
	n.forwardCalls++
	return n.forward()
}

const (
	id    = "5c0e7a21d94b36f8"
	other = "5c0e7a21d94b36f9"
	body  = `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":256}]}`
)

func notRun() error   { return verdict.New(verdict.DidNotRun, "test", "refused") }
func maybeRun() error { return verdict.New(verdict.MayHaveRun, "test", "no answer") }

var _ = ginkgo.Describe("the front", func() {
	var n *fakeNode
	var f *Front
	ginkgo.BeforeEach(func() {
		d := &cell.Desired{
			Queues: []cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}, {Name: "open", Host: "h.example", PathPrefix: "/q/open/", Open: true}},
			Teams:  map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}, "b": {Name: "b", Keys: []string{"key-b"}}},
			Limits: cell.Limits{BodyBytes: 500},
		}
		d.Index()
		n = &fakeNode{desired: d, fresh: true, entries: map[string]registry.Entry{
			other: {Submission: &cell.Submission{ID: other, Team: "b", Queue: cell.Queue{Name: "q"}}, Progress: cell.Progress{State: cell.Active}},
		}, forward: func() (*peers.ForwardResponse, error) { return nil, notRun() }}
		f = &Front{State: n, Records: n, Peers: n, Logger: slog.New(slog.DiscardHandler), Wall: func() time.Duration { return 0 }}
	})
	call := func(method, path, key, content string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(content))
		if key != "" {
			r.Header.Set("Authorization", "Token "+key)
		}
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		return w
	}

	// Guards against bad input that is stored, that breaks the process, or that
	// gets the status of something else.
	ginkgo.DescribeTable("bad input", func(method, path, key, content string, status int) {
		gomega.Expect(call(method, path, key, content).Code).To(gomega.Equal(status))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	},
		ginkgo.Entry("unknown path", "POST", "/x/"+id, "key-a", body, 404),
		ginkgo.Entry("no key", "POST", "/q/"+id, "", body, 401),
		ginkgo.Entry("unknown key", "POST", "/q/"+id, "key-x", body, 401),
		ginkgo.Entry("an id that is none", "POST", "/q/123", "key-a", body, 400),
		ginkgo.Entry("an id with other characters", "POST", "/q/5c0e7a21d94b36fz", "key-a", body, 400),
		ginkgo.Entry("broken JSON", "POST", "/q/"+id, "key-a", `{"spec":`, 400),
		ginkgo.Entry("a field of another type", "POST", "/q/"+id, "key-a", `{"spec":1,"steps":[]}`, 400),
		ginkgo.Entry("no steps", "POST", "/q/"+id, "key-a", `{"spec":"x","steps":[]}`, 400),
		ginkgo.Entry("a step after itself", "POST", "/q/"+id, "key-a", `{"spec":"x","steps":[{"count":1,"after":[0]}]}`, 400),
		ginkgo.Entry("a negative amount", "POST", "/q/"+id, "key-a", `{"spec":"x","steps":[{"count":1,"cpu":-1}]}`, 400),
		ginkgo.Entry("too many tasks", "POST", "/q/"+id, "key-a", `{"spec":"x","steps":[{"count":100000000}]}`, 400),
		ginkgo.Entry("a body over the limit", "POST", "/q/"+id, "key-a", `{"spec":"`+strings.Repeat("x", 600)+`"}`, 413),
		ginkgo.Entry("another method", "PUT", "/q/"+id, "key-a", body, 405),
		ginkgo.Entry("another team's submission", "GET", "/q/"+other, "key-a", "", 410),
		ginkgo.Entry("cancelling another team's submission", "DELETE", "/q/"+other, "key-a", "", 410),
		ginkgo.Entry("another team's id", "POST", "/q/"+other, "key-a", body, 409),
	)

	ginkgo.It("stores what is accepted", func() {
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(200))
		gomega.Expect(n.stored).To(gomega.Equal([]string{"s/" + id}))
		gomega.Expect(call("POST", "/q/open/"+id, "", body).Code).To(gomega.Equal(200))
	})
	ginkgo.It("keeps a submission that is handed in again one", func() {
		gomega.Expect(call("POST", "/q/"+other, "key-b", body).Code).To(gomega.Equal(200))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	})
	ginkgo.It("tells states and pending counts", func() {
		gomega.Expect(call("GET", "/q/"+other, "key-b", "").Body.String()).To(gomega.Equal(`{"state":"running"}`))
		gomega.Expect(call("GET", "/q/", "key-b", "").Body.String()).To(gomega.Equal(`{"pending":12}`))
		gomega.Expect(call("GET", "/q/"+id, "key-a", "").Code).To(gomega.Equal(410))
	})

	// Guards against a 410 for a submission that another node has just accepted.
	ginkgo.It("does not deny what it may not have read yet", func() {
		n.catchUp = notRun()
		gomega.Expect(call("GET", "/q/"+id, "key-a", "").Code).To(gomega.Equal(503))
		gomega.Expect(call("DELETE", "/q/"+id, "key-a", "").Code).To(gomega.Equal(503))
	})

	// Guards against a refusal of what the node that was asked first may have stored.
	ginkgo.DescribeTable("a forwarded call without an answer", func(method, key string, status int) {
		n.cut = true
		n.forward = func() (*peers.ForwardResponse, error) { return nil, maybeRun() }
		gomega.Expect(call(method, "/q/"+other, key, body).Code).To(gomega.Equal(status))
	},
		ginkgo.Entry("submission under a key that is unknown here", "POST", "key-x", 504),
		ginkgo.Entry("submission that another team has", "POST", "key-a", 504),
		ginkgo.Entry("cancellation of what is unknown here", "DELETE", "key-a", 504),
		ginkgo.Entry("state under a key that is unknown here", "GET", "key-x", 401),
		ginkgo.Entry("submission that is known", "POST", "key-b", 200),
	)

	// Guards against a withdrawn key that works at a node without a fresh state.
	ginkgo.It("checks keys against a fresh desired state only", func() {
		n.fresh = false
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(503))
		gomega.Expect(call("POST", "/q/open/"+id, "", body).Code).To(gomega.Equal(200))
	})
	ginkgo.It("says when it knows no desired state", func() {
		n.desired = nil
		w := call("POST", "/q/"+id, "key-a", body)
		gomega.Expect(w.Code).To(gomega.Equal(503))
		gomega.Expect(w.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	})

	// Guards against a refusal that says "not accepted" of work that may be stored,
	// here or through another node, and against an open outcome where none is.
	ginkgo.DescribeTable("when the store does not answer", func(cut bool, own error, forward func() (*peers.ForwardResponse, error), status int) {
		n.cut = cut
		n.append = func(context.Context) error { return own }
		n.forward = forward
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(status))
	},
		ginkgo.Entry("refused everywhere", false, notRun(), answers(nil, notRun()), 503),
		ginkgo.Entry("refused here, answered elsewhere", false, notRun(), answers(&peers.ForwardResponse{Status: 200}, nil), 200),
		ginkgo.Entry("refused here, final refusal elsewhere", false, notRun(), answers(&peers.ForwardResponse{Status: 401}, nil), 401),
		ginkgo.Entry("refused here, open elsewhere", false, notRun(), answers(nil, maybeRun()), 504),
		ginkgo.Entry("open here, refused elsewhere", false, maybeRun(), answers(nil, notRun()), 504),
		ginkgo.Entry("open here, final refusal elsewhere", false, maybeRun(), answers(&peers.ForwardResponse{Status: 401}, nil), 504),
		ginkgo.Entry("cut, open elsewhere, refused here", true, notRun(), answers(nil, maybeRun()), 504),
		ginkgo.Entry("cut, answered elsewhere", true, notRun(), answers(&peers.ForwardResponse{Status: 200}, nil), 200),
	)

	// Guards against a caller that waits for a silent store while another node
	// could answer, and against its refusal while the record may still be stored.
	ginkgo.It("asks another node when the store is silent", func() {
		n.append = func(ctx context.Context) error { <-ctx.Done(); return maybeRun() }
		n.forward = answers(&peers.ForwardResponse{Status: 200}, nil)
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(200))
		n.forward = answers(&peers.ForwardResponse{Status: 401}, nil)
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(http.StatusGatewayTimeout))
	})
})

func answers(a *peers.ForwardResponse, err error) func() (*peers.ForwardResponse, error) {
	return func() (*peers.ForwardResponse, error) { return a, err }
}
