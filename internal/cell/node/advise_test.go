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
	const callers, callTime = 20, 200 * time.Millisecond
	var calls atomic.Int64
	var turn sync.Mutex // the service handles one call at a time
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		turn.Lock()
		defer turn.Unlock()
		time.Sleep(callTime)
		_, _ = w.Write([]byte(`{"approvedWorkers":[["h","ticket"]]}`))
	}))
	defer service.Close()
	n := newNodeWithAdvice(t, strings.TrimPrefix(service.URL, "http://"))
	var abandoned sync.WaitGroup
	for range callers {
		abandoned.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTime/4)
			defer cancel()
			_, _ = n.Advise(ctx, &peers.AdviseRequest{Hosts: []string{"h"}})
		})
	}
	abandoned.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 8*callTime)
	defer cancel()
	r, err := n.Advise(ctx, &peers.AdviseRequest{Hosts: []string{"h"}})
	if err != nil || r.Tickets["h"] != "ticket" {
		t.Errorf("the call after the abandoned ones returned %v, %v", r, err)
	}
	if got := calls.Load(); got > 3 {
		t.Errorf("%d calls reached the service, want at most 3", got)
	}
}
