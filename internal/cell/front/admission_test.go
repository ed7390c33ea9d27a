package front

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// fakeAdmission refuses the first submissions that it is asked about.
type fakeAdmission struct {
	refusal           *admission.Refusal
	refusals          int
	refused, accepted []string
}

func (a *fakeAdmission) Decide(admission.Request) *admission.Refusal {
	if a.refusals == 0 {
		return nil
	}
	a.refusals--
	return a.refusal
}
func (a *fakeAdmission) Refused(id string) { a.refused = append(a.refused, id) }
func (a *fakeAdmission) Accepted(id string) bool {
	a.accepted = append(a.accepted, id)
	return true
}

// Guards against a refusal of what is stored, or may be while the store cannot be asked, and
// against one on a summary that has become too old meanwhile.
func TestSubmissionsThatEndTooLateAreRefused(t *testing.T) {
	own, ofCell := &admission.Refusal{Own: true, RetryAfterSeconds: 7}, &admission.Refusal{RetryAfterSeconds: 9}
	for name, c := range map[string]struct {
		refusal  *admission.Refusal
		refusals int
		stored   string
		catchUp  error
		append   error
		status   int
		after    string
	}{
		"there is room":                                 {status: 200},
		"the team has too much":                         {refusal: own, refusals: 9, status: 429, after: "7"},
		"the cell has no room":                          {refusal: ofCell, refusals: 9, status: 503, after: "9"},
		"an earlier attempt is stored":                  {refusal: own, refusals: 9, stored: "a", status: 200},
		"another team has the ID":                       {refusal: own, refusals: 9, stored: "b", status: 409},
		"the store cannot be read":                      {refusal: own, refusals: 9, catchUp: mayHaveRunError(), status: 200},
		"the store can neither be read nor appended to": {refusal: own, refusals: 9, catchUp: mayHaveRunError(), append: didNotRunError(), status: 503, after: "1"},
		"the summary becomes too old":                   {refusal: own, refusals: 1, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			d := &cell.Desired{
				Queues: []cell.Queue{{Name: "q", Priority: 1, Host: "h.example", PathPrefix: "/q/"}}, Teams: map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}},
			}
			d.IndexKeys()
			n := &fakeNode{desired: d, fresh: true, entries: map[string]registry.Entry{}, catchUp: c.catchUp}
			n.append = func(context.Context) error { return c.append }
			n.forward = func() (*peers.CallResponse, error) { return nil, didNotRunError() }
			if c.stored != "" {
				n.stores = map[string]registry.Entry{id: {Submission: &cell.Submission{ID: id, Team: c.stored}}}
			}
			gate := &fakeAdmission{refusal: c.refusal, refusals: c.refusals}
			f := &Handler{State: n, Records: n, Forwarder: n, Logger: slog.New(slog.DiscardHandler), WallClock: func() time.Duration { return 0 }, Admission: gate}
			r := httptest.NewRequest("POST", "http://h.example/q/"+id, strings.NewReader(body))
			r.Header.Set("Authorization", "Token key-a")
			w := httptest.NewRecorder()
			f.ServeHTTP(w, r)
			if w.Code != c.status || w.Header().Get("Retry-After") != c.after {
				t.Errorf("status %d, Retry-After %q: %s", w.Code, w.Header().Get("Retry-After"), w.Body)
			}
			if stored := c.status == 200 && c.stored == ""; stored != (len(gate.accepted) == 1) {
				t.Errorf("status %d, and the submissions that lose their precedence are %v", c.status, gate.accepted)
			}
			if refused := c.status != 200 && c.append == nil && c.stored == ""; refused != (len(gate.refused) == 1) || refused && len(n.stored) > 0 {
				t.Errorf("refused %v, stored %v", gate.refused, n.stored)
			}
		})
	}
}
