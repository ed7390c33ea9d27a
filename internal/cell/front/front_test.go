package front

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

func TestFront(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "front")
}

// fakeNode implements State, RecordAppender and Forwarder with results set by
// the test.
type fakeNode struct {
	desired             *cell.Desired
	fresh, disconnected bool
	entries             map[string]registry.Entry
	catchUp             error
	append              func(ctx context.Context) error
	stored              []string
	// pending are the queues of submissions that have not started.
	pending         []cell.Queue
	forward         func() (*peers.CallResponse, error)
	forwardCalls    int
	answerTime      time.Duration
	storage, ofTeam int64
	mayStore        bool
	// stores are the entries that are read with the next CatchUp.
	stores map[string]registry.Entry
}

func (n *fakeNode) Refresh(context.Context)               {}
func (n *fakeNode) Desired() (*cell.Desired, bool)        { return n.desired, n.fresh }
func (n *fakeNode) DesiredAge() time.Duration             { return 0 }
func (n *fakeNode) Find(id string) (registry.Entry, bool) { e, ok := n.entries[id]; return e, ok }
func (n *fakeNode) Pending(belongs func(*cell.Queue) bool) (count int) {
	for _, q := range n.pending {
		if belongs(&q) {
			count++
		}
	}
	return count
}
func (n *fakeNode) Storage(string) (total, ofTeam int64) { return n.storage, n.ofTeam }
func (n *fakeNode) CatchUp(context.Context) error {
	maps.Copy(n.entries, n.stores)
	return n.catchUp
}
func (n *fakeNode) SubmissionsFresh() bool         { return true }
func (n *fakeNode) StoreAnswerTime() time.Duration { return n.answerTime }
func (n *fakeNode) Disconnected() bool             { return n.disconnected }
func (n *fakeNode) MayStore(string) bool           { return n.mayStore }
func (n *fakeNode) Append(ctx context.Context, r platform.Record) error {
	if n.append != nil {
		if err := n.append(ctx); err != nil {
			return err
		}
	}
	n.stored = append(n.stored, r.Key)
	return nil
}
func (n *fakeNode) Forward(context.Context, *peers.CallRequest) (*peers.CallResponse, error) {
	n.forwardCalls++
	return n.forward()
}

// panickingState panics when a submission is looked for.
type panickingState struct{ *fakeNode }

func (panickingState) Find(string) (registry.Entry, bool) { panic("a fault that nobody expected") }

const (
	id    = "5c0e7a21d94b36f8"
	other = "5c0e7a21d94b36f9"
	body  = `{"spec":"x","steps":[{"count":1,"cpu":500,"memMb":256}]}`
)

func didNotRunError() error  { return verdict.New(verdict.DidNotRun, "test", "refused") }
func mayHaveRunError() error { return verdict.New(verdict.MayHaveRun, "test", "no answer") }

var _ = ginkgo.Describe("the front", func() {
	var n *fakeNode
	var f *Handler
	ginkgo.BeforeEach(func() {
		d := &cell.Desired{
			Queues: []cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}, {Name: "open", Host: "h.example", PathPrefix: "/q/open/", WithoutKey: true}},
			Teams:  map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}, "b": {Name: "b", Keys: []string{"key-b"}}},
			Limits: cell.Limits{BodyBytes: 500},
		}
		d.IndexKeys()
		n = &fakeNode{desired: d, fresh: true, entries: map[string]registry.Entry{
			other: {Submission: &cell.Submission{ID: other, Team: "b", Queue: cell.Queue{Name: "q"}}, Progress: cell.Progress{State: cell.Active}},
		}, forward: func() (*peers.CallResponse, error) { return nil, didNotRunError() }}
		f = &Handler{State: n, Records: n, Forwarder: n, Logger: slog.New(slog.DiscardHandler), WallClock: func() time.Duration { return 0 }}
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

	// Guards against invalid input that is stored, that crashes the process, or that
	// is answered with the wrong status.
	ginkgo.DescribeTable("bad input", func(method, path, key, content string, status int) {
		gomega.Expect(call(method, path, key, content).Code).To(gomega.Equal(status))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	},
		ginkgo.Entry("unknown path", "POST", "/x/"+id, "key-a", body, 404),
		ginkgo.Entry("no key", "POST", "/q/"+id, "", body, 401),
		ginkgo.Entry("unknown key", "POST", "/q/"+id, "key-x", body, 401),
		ginkgo.Entry("an id of the wrong length", "POST", "/q/123", "key-a", body, 400),
		ginkgo.Entry("an id with other characters", "POST", "/q/5c0e7a21d94b36fz", "key-a", body, 400),
		ginkgo.Entry("broken JSON", "POST", "/q/"+id, "key-a", `{"spec":`, 400),
		ginkgo.Entry("a field of the wrong type", "POST", "/q/"+id, "key-a", `{"spec":1,"steps":[]}`, 400),
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

	// Guards against a body that fills the memory of the process, since the desired state
	// allows any size.
	ginkgo.It("bounds the body whatever the desired state allows", func() {
		n.desired.Limits.BodyBytes = math.MaxInt
		large := `{"spec":"x","unknown":"` + strings.Repeat("x", 4<<20) + `","steps":[{"count":1}]}`
		gomega.Expect(call("POST", "/q/"+id, "key-a", large).Code).To(gomega.Equal(413))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	})

	// Guards against a call that is given up at once, or that is held for years, since its
	// deadline overflows or is far away.
	ginkgo.DescribeTable("deadlines", func(header string, want time.Duration) {
		gomega.Expect(callTimeout(http.Header{platform.HeaderDeadline: {header}})).To(gomega.Equal(want))
	},
		ginkgo.Entry("none", "", defaultCallTimeout-responseMargin),
		ginkgo.Entry("ordinary", "2000", 1900*time.Millisecond),
		ginkgo.Entry("zero", "0", defaultCallTimeout-responseMargin),
		ginkgo.Entry("negative", "-5", defaultCallTimeout-responseMargin),
		ginkgo.Entry("a fraction", "1.5", defaultCallTimeout-responseMargin),
		ginkgo.Entry("no number", "NaN", defaultCallTimeout-responseMargin),
		ginkgo.Entry("above 64 bits", "9223372036854775808", defaultCallTimeout-responseMargin),
		ginkgo.Entry("overflows as a duration", "9223372036854775807", maxCallTimeout-responseMargin),
		ginkgo.Entry("a year", "31536000000", maxCallTimeout-responseMargin),
	)

	// Guards against a caller who is told to try again, although the store never takes
	// the record of the submission.
	ginkgo.It("refuses a submission whose record would be too large", func() {
		n.desired.Limits.BodyBytes = 1 << 20
		large := `{"spec":"x","steps":[{"count":1,"image":"` + strings.Repeat("<", 60_000) + `"}]}`
		gomega.Expect(call("POST", "/q/"+id, "key-a", large).Code).To(gomega.Equal(413))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	})

	ginkgo.It("stores accepted submissions", func() {
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(200))
		gomega.Expect(n.stored).To(gomega.Equal([]string{"s/" + id}))
		gomega.Expect(call("POST", "/q/open/"+id, "", body).Code).To(gomega.Equal(200))
	})
	ginkgo.It("does not store a repeated submission again", func() {
		gomega.Expect(call("POST", "/q/"+other, "key-b", body).Code).To(gomega.Equal(200))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	})
	ginkgo.It("reports states and pending counts", func() {
		gomega.Expect(call("GET", "/q/"+other, "key-b", "").Body.String()).To(gomega.Equal(`{"state":"running"}`))
		n.pending = append(slices.Repeat([]cell.Queue{{Name: "q"}}, 12), cell.Queue{Name: "open"})
		gomega.Expect(call("GET", "/q/", "key-b", "").Body.String()).To(gomega.Equal(`{"pending":12}`))
		gomega.Expect(call("GET", "/q/"+id, "key-a", "").Code).To(gomega.Equal(410))
	})

	// Guards against status 410 for a submission that another node has just accepted
	// and that this node has not read yet.
	ginkgo.It("answers 503 while it may not have read the submission", func() {
		n.catchUp = didNotRunError()
		gomega.Expect(call("GET", "/q/"+id, "key-a", "").Code).To(gomega.Equal(503))
		gomega.Expect(call("DELETE", "/q/"+id, "key-a", "").Code).To(gomega.Equal(503))
	})

	// Guards against a refusal of work that the node to which the call was forwarded
	// may have stored.
	ginkgo.DescribeTable("a forwarded call without a response", func(method, key string, status int) {
		n.disconnected = true
		n.forward = func() (*peers.CallResponse, error) { return nil, mayHaveRunError() }
		gomega.Expect(call(method, "/q/"+other, key, body).Code).To(gomega.Equal(status))
	},
		ginkgo.Entry("submission with a key that is unknown on this node", "POST", "key-x", 504),
		ginkgo.Entry("submission of another team", "POST", "key-a", 504),
		ginkgo.Entry("cancellation of a submission that is unknown on this node", "DELETE", "key-a", 504),
		ginkgo.Entry("state with a key that is unknown on this node", "GET", "key-x", 401),
		ginkgo.Entry("submission that is stored", "POST", "key-b", 200),
	)

	// Guards against a node that accepts a withdrawn key because its desired state is
	// out of date.
	ginkgo.It("checks keys only against a fresh desired state", func() {
		n.fresh = false
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(503))
	})

	// Guards against a call that is handled as only an older version of the desired state
	// allows: refused for a queue or a key that a newer version has, or answered through
	// a queue that a newer version has removed.
	ginkgo.DescribeTable("decides nothing on a desired state that may be out of date", func(method, path, key string) {
		n.fresh = false
		w := call(method, path, key, body)
		gomega.Expect(w.Code).To(gomega.Equal(503))
		gomega.Expect(w.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(n.stored).To(gomega.BeEmpty())
		n.forward = forwardAnswers(&peers.CallResponse{Status: 200}, nil)
		gomega.Expect(call(method, path, key, body).Code).To(gomega.Equal(200), "another node has a fresh state")
		n.forward = forwardAnswers(&peers.CallResponse{Status: 404}, nil)
		gomega.Expect(call(method, path, key, body).Code).To(gomega.Equal(404), "another node has a fresh state")
	},
		ginkgo.Entry("unknown queue", "POST", "/x/"+id, "key-a"),
		ginkgo.Entry("pending count of an unknown queue", "GET", "/x/", "key-a"),
		ginkgo.Entry("unknown key", "POST", "/q/"+id, "key-x"),
		ginkgo.Entry("no key", "GET", "/q/"+id, ""),
		ginkgo.Entry("known key", "POST", "/q/"+id, "key-a"),
		ginkgo.Entry("queue without keys", "POST", "/q/open/"+id, ""),
		ginkgo.Entry("pending count of a queue without keys", "GET", "/q/open/", ""),
	)

	// Guards against a refusal on an old state by a node whose call no other node
	// answered, and against work that is refused though another node may have stored it.
	ginkgo.It("refuses nothing on an old state after the other nodes have not answered", func() {
		n.fresh, n.disconnected = false, true
		n.forward = forwardAnswers(nil, didNotRunError())
		gomega.Expect(call("GET", "/x/"+id, "key-a", "").Code).To(gomega.Equal(503))
		gomega.Expect(n.forwardCalls).To(gomega.Equal(1))
		n.disconnected = false
		n.forward = forwardAnswers(nil, mayHaveRunError())
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(504))
	})
	ginkgo.It("answers 503 with Retry-After before the first read of the desired state", func() {
		n.desired = nil
		w := call("POST", "/q/"+id, "key-a", body)
		gomega.Expect(w.Code).To(gomega.Equal(503))
		gomega.Expect(w.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	})

	// Guards against a response that says "not accepted" about work that may be
	// stored, by this node or another one, and against status 504 when the work is
	// certain not to be stored.
	ginkgo.DescribeTable("when the store does not answer", func(disconnected bool, own error, forward func() (*peers.CallResponse, error), status int) {
		n.disconnected = disconnected
		n.append = func(context.Context) error { return own }
		n.forward = forward
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(status))
	},
		ginkgo.Entry("refused on all nodes", false, didNotRunError(), forwardAnswers(nil, didNotRunError()), 503),
		ginkgo.Entry("refused on this node, stored by another", false, didNotRunError(), forwardAnswers(&peers.CallResponse{Status: 200}, nil), 200),
		ginkgo.Entry("refused on this node, final refusal by another", false, didNotRunError(), forwardAnswers(&peers.CallResponse{Status: 401}, nil), 401),
		ginkgo.Entry("refused on this node, outcome unknown on another", false, didNotRunError(), forwardAnswers(nil, mayHaveRunError()), 504),
		ginkgo.Entry("outcome unknown on this node, refused on another", false, mayHaveRunError(), forwardAnswers(nil, didNotRunError()), 504),
		ginkgo.Entry("outcome unknown on this node, final refusal by another", false, mayHaveRunError(), forwardAnswers(&peers.CallResponse{Status: 401}, nil), 504),
		ginkgo.Entry("disconnected, outcome unknown on another node, refused on this one", true, didNotRunError(), forwardAnswers(nil, mayHaveRunError()), 504),
		ginkgo.Entry("disconnected, stored by another node", true, didNotRunError(), forwardAnswers(&peers.CallResponse{Status: 200}, nil), 200),
	)

	// Guards against an unexpected failure of one call that nobody sees, and against an
	// answer to it although its outcome is open.
	ginkgo.It("logs a call that panics and closes its connection", func() {
		var out bytes.Buffer
		f.Logger = slog.New(slog.NewTextHandler(&out, nil))
		f.State = panickingState{n}
		gomega.Expect(func() { call("POST", "/q/"+id, "key-a", body) }).To(gomega.PanicWith(http.ErrAbortHandler))
		gomega.Expect(out.String()).To(gomega.ContainSubstring("a fault that nobody expected"))
	})

	// Guards against calls that wait at a slow store although their time cannot suffice.
	ginkgo.It("refuses at once what a slow store cannot store in time", func() {
		n.append = func(context.Context) error {
			return verdict.Wrap(&worklog.OverloadError{RetryAfter: 2500 * time.Millisecond}, verdict.DidNotRun, "store-overloaded")
		}
		w := call("POST", "/q/"+id, "key-a", body)
		gomega.Expect(w.Code).To(gomega.Equal(503))
		gomega.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("3"))
		gomega.Expect(n.forwardCalls).To(gomega.BeNumerically("<=", 1))
	})

	// Guards against a second append of work that another node is about to store, at a
	// store that is slow already.
	ginkgo.It("leaves the outcome open when another node was asked at a slow store", func() {
		n.disconnected, n.answerTime = true, time.Second
		n.forward = forwardAnswers(nil, mayHaveRunError())
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(504))
		gomega.Expect(n.stored).To(gomega.BeEmpty())
	})

	// Guards against a caller that waits for a store that does not answer although
	// another node could answer, and against a refusal while the record may still be
	// stored.
	ginkgo.It("asks another node when the store does not answer", func() {
		n.append = func(ctx context.Context) error { <-ctx.Done(); return mayHaveRunError() }
		n.forward = forwardAnswers(&peers.CallResponse{Status: 200}, nil)
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(200))
		n.forward = forwardAnswers(&peers.CallResponse{Status: 401}, nil)
		gomega.Expect(call("POST", "/q/"+id, "key-a", body).Code).To(gomega.Equal(http.StatusGatewayTimeout))
	})
})

func forwardAnswers(a *peers.CallResponse, err error) func() (*peers.CallResponse, error) {
	return func() (*peers.CallResponse, error) { return a, err }
}
