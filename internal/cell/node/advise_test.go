package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
)

// Guards against calls that their callers have abandoned and that wait at the advice
// service all the same, so that it answers no later call in time and refuses the rest.
func TestAbandonedAdviceCallsDoNotReachTheService(t *testing.T) {
	const callers = 20
	var calls atomic.Int64
	proceed := make(chan struct{})
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		<-proceed // the service handles a call to its end, even if the caller has left
		_, _ = w.Write([]byte(`{"approvedWorkers":[["h","ticket"]]}`))
	}))
	defer service.Close()
	n := newNodeWithAdvice(t, strings.TrimPrefix(service.URL, "http://"))
	var abandoned sync.WaitGroup
	for range callers {
		abandoned.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, _ = n.Advise(ctx, &peers.AdviseRequest{Hosts: []string{"h"}})
		})
	}
	abandoned.Wait()
	close(proceed)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := n.Advise(ctx, &peers.AdviseRequest{Hosts: []string{"h"}})
	if err != nil || r.Tickets["h"] != "ticket" {
		t.Errorf("the call after the abandoned ones returned %v, %v", r, err)
	}
	if got := calls.Load(); got > 3 {
		t.Errorf("%d calls reached the service, want at most 3", got)
	}
}
