package front

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a 410 to the cancellation of a submission whose append is open, at this node or
// at another one: it is stored after that, and runs.
func TestCancellationOfAnUnstoredSubmissionIsStored(t *testing.T) {
	for name, c := range map[string]struct {
		storage        int64
		append, reread error
		status         int
		stored         bool
	}{
		"the store takes the cancellation":          {status: http.StatusAccepted, stored: true},
		"the store refuses the cancellation":        {append: didNotRunError(), status: http.StatusServiceUnavailable},
		"the append of the cancellation is open":    {append: mayHaveRunError(), status: http.StatusGatewayTimeout},
		"there is no memory for cancellations":      {storage: maxTestStorage, status: http.StatusServiceUnavailable},
		"the topic cannot be read up to its end":    {reread: didNotRunError(), status: http.StatusServiceUnavailable},
		"the append of the submission is open here": {status: http.StatusAccepted, stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newTestHandler()
			n.storage, n.catchUp, n.mayStore = c.storage, c.reread, strings.Contains(name, "open here")
			n.append = appendReturns(c.append)
			w := callAs(f, "a", "DELETE", "/q/"+id)
			if w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if got := len(n.stored) == 1 && strings.HasPrefix(n.stored[0], "x/"+id+"/"); got != c.stored {
				t.Errorf("stored %v", n.stored)
			}
			if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}

// Guards against a 410 to a caller that asks for its submission while this node is storing it.
func TestStateOfASubmissionWhoseAppendIsOpenIsUnknown(t *testing.T) {
	f, n := newTestHandler()
	n.mayStore = true
	if w := callAs(f, "a", "GET", "/q/"+id); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	n.mayStore = false
	if w := callAs(f, "a", "GET", "/q/"+id); w.Code != http.StatusGone {
		t.Errorf("without an open append the status is %d", w.Code)
	}
}
