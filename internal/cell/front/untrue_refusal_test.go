package front

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
)

// newRefusingHandler returns a handler that refuses every submission for the load, and the node
// behind it. The call of a caller ends when its context does.
func newRefusingHandler() (*Handler, *fakeNode) {
	f, n := newTestHandler()
	n.desired.Queues[0].Priority = 1
	f.Admission = &fakeAdmission{refusal: &admission.Refusal{Own: true, RetryAfterSeconds: 7}, refusals: 1 << 20}
	return f, n
}

func post(f *Handler) *httptest.ResponseRecorder { return postTo(f, "/q/") }

func postTo(f *Handler, prefix string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "http://h.example"+prefix+id, strings.NewReader(body))
	r.Header.Set("Authorization", "Token key-a")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// Guards against the refusal of a repeated submission whose first append is open or has an
// unknown outcome, and which runs once that append takes effect.
func TestUnknownOutcomeIsNotFollowedByARefusal(t *testing.T) {
	for name, c := range map[string]struct {
		load, storage bool
		store         error // of the append of the repetition
		status        int
	}{
		"refused for the load":      {load: true, status: 200},
		"refused for memory":        {storage: true, status: 504},
		"refused by the store":      {store: didNotRunError(), status: 504},
		"load, and the store fails": {load: true, store: didNotRunError(), status: 504},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newRefusingHandler()
			gate := f.Admission
			f.Admission = nil
			n.append = func(context.Context) error { return mayHaveRunError() }
			if w := post(f); w.Code != 504 {
				t.Fatalf("the first attempt gets %d", w.Code)
			}
			n.append = func(context.Context) error { return c.store }
			if c.load {
				f.Admission = gate
			}
			if c.storage {
				n.storage = maxTestStorage
			}
			if w := post(f); w.Code != c.status {
				t.Errorf("the repetition gets %d: %s", w.Code, w.Body)
			}
		})
	}
}

// Guards against a refusal after an unknown outcome in a queue whose path prefix does not end
// with a slash.
func TestUnknownOutcomeUnderAPrefixWithoutSlash(t *testing.T) {
	f, n := newRefusingHandler()
	f.Admission = nil
	n.desired.Queues[0].PathPrefix = "/jobs-"
	n.append = func(context.Context) error { return mayHaveRunError() }
	if w := postTo(f, "/jobs-"); w.Code != 504 {
		t.Fatalf("the first attempt gets %d", w.Code)
	}
	n.append = func(context.Context) error { return didNotRunError() }
	if w := postTo(f, "/jobs-"); w.Code != 504 {
		t.Errorf("the repetition gets %d", w.Code)
	}
}

// Guards against the refusal of a submission whose append is open: that of a call in progress,
// that of this process for another node, or one which the forwarding node reports.
func TestOpenAppendIsNotRefused(t *testing.T) {
	f, n := newRefusingHandler()
	if w := post(f); w.Code != 429 {
		t.Fatalf("without an earlier attempt the status is %d", w.Code)
	}
	n.mayStore = true
	if w := post(f); w.Code != 200 {
		t.Errorf("with an open append of this process the status is %d", w.Code)
	}
	n.mayStore = false
	r := &peers.CallRequest{Method: "POST", Host: "h.example", Path: "/q/" + id, Authorization: "Token key-a", Body: []byte(body), MayBeStored: true}
	if resp := f.AnswerForwarded(t.Context(), r); resp.Status != 200 {
		t.Errorf("a forwarded call that may be stored gets %d", resp.Status)
	}
	r.MayBeStored = false
	if resp := f.AnswerForwarded(t.Context(), r); resp.Status != 429 {
		t.Errorf("a forwarded call of an earlier version gets %d", resp.Status)
	}
	gate := f.Admission
	f.Admission = nil
	n.append = func(context.Context) error { // the call in progress; another one comes meanwhile
		n.append, f.Admission = nil, gate
		if w := post(f); w.Code != 200 {
			t.Errorf("beside a call in progress the status is %d", w.Code)
		}
		return nil
	}
	if w := post(f); w.Code != 200 {
		t.Errorf("the call in progress gets %d", w.Code)
	}
}

// Guards against a refusal before the body of a repetition was received, and after a call that
// panicked, whose outcome is open.
func TestRefusalBeforeTheBodyIsNotUntrue(t *testing.T) {
	f, n := newRefusingHandler()
	r := httptest.NewRequest("POST", "http://h.example/q/"+id, nil)
	shed := unavailableResponse("shed")
	if resp := f.UnlessStored(r.Method, r.URL.Path, shed); resp != shed {
		t.Errorf("a first call gets %d", resp.Status)
	}
	f.Admission = nil
	f.State = panickingState{n}
	func() {
		defer func() { _ = recover() }()
		post(f)
	}()
	if resp := f.UnlessStored(r.Method, r.URL.Path, shed); resp.Status != 504 {
		t.Errorf("after a call that panicked, the next one gets %d", resp.Status)
	}
	get := httptest.NewRequest("GET", "http://h.example/q/"+id, nil)
	if resp := f.UnlessStored(get.Method, get.URL.Path, shed); resp != shed {
		t.Errorf("a query gets %d", resp.Status)
	}
}

// Guards against a refusal when another call of the submission is stored after the topic was
// read to find out whether it is.
func TestAttemptDuringTheDecisionIsNotRefused(t *testing.T) {
	f, n := newRefusingHandler()
	state := &catchingUpState{fakeNode: n}
	f.State = state
	state.meanwhile = func() {
		state.meanwhile = nil
		gate := f.Admission
		f.Admission = nil
		if w := post(f); w.Code != 200 {
			t.Errorf("the second call gets %d", w.Code)
		}
		f.Admission = gate
	}
	if w := post(f); w.Code != 200 {
		t.Errorf("the first call gets %d: %s", w.Code, w.Body)
	}
}

// Guards against the refusal of a call whose append the store refuses, while another call of the
// submission that began later is stored.
func TestLaterAttemptDuringTheAppendIsNotRefused(t *testing.T) {
	f, n := newRefusingHandler()
	f.Admission = nil
	n.append = func(context.Context) error {
		n.append = nil
		if w := post(f); w.Code != 200 {
			t.Errorf("the second call gets %d", w.Code)
		}
		n.append = func(context.Context) error { return didNotRunError() }
		return didNotRunError()
	}
	if w := post(f); w.Code != 504 {
		t.Errorf("the first call gets %d", w.Code)
	}
}

// catchingUpState calls meanwhile while the topic is read.
type catchingUpState struct {
	*fakeNode
	meanwhile func()
}

func (s *catchingUpState) CatchUp(ctx context.Context) error {
	if s.meanwhile != nil {
		s.meanwhile()
	}
	return s.fakeNode.CatchUp(ctx)
}

// Guards against a call that is forwarded to a second node without a word that this one may
// store it.
func TestForwardedCallSaysThatItMayBeStored(t *testing.T) {
	for name, c := range map[string]struct {
		store, earlier error
		want           bool
	}{
		"not stored":                       {store: didNotRunError()},
		"the append has no answer":         {store: mayHaveRunError(), want: true},
		"an earlier attempt had no answer": {store: didNotRunError(), earlier: mayHaveRunError(), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newRefusingHandler()
			f.Admission = nil
			if c.earlier != nil {
				n.append = func(context.Context) error { return c.earlier }
				post(f)
			}
			n.append = func(context.Context) error { return c.store }
			var got []bool
			f.Forwarder = forwarderFunc(func(r *peers.CallRequest) (*peers.CallResponse, error) {
				got = append(got, r.MayBeStored)
				return &peers.CallResponse{Status: 200}, nil
			})
			post(f)
			if len(got) != 1 || got[0] != c.want {
				t.Errorf("forwarded with %v, want %t", got, c.want)
			}
		})
	}
}

type forwarderFunc func(r *peers.CallRequest) (*peers.CallResponse, error)

func (f forwarderFunc) Forward(_ context.Context, r *peers.CallRequest) (*peers.CallResponse, error) {
	return f(r)
}
