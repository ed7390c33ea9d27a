package users

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Advice simulates the advice service. It approves every host for every step and
// handles one call at a time.
type Advice struct {
	server       *httptest.Server
	mu           sync.Mutex
	callDuration time.Duration
}

// NewAdvice starts a service on the loopback interface whose calls take
// callDuration each.
func NewAdvice(callDuration time.Duration) *Advice {
	a := &Advice{callDuration: callDuration}
	a.server = httptest.NewServer(http.HandlerFunc(a.serve))
	return a
}

// Address returns the address of the service as HOST:PORT.
func (a *Advice) Address() string { return a.server.Listener.Addr().String() }

// Close stops the service.
func (a *Advice) Close() { a.server.Close() }

func (a *Advice) serve(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(a.callDuration)
	approved := [][2]string{}
	for _, id := range req.Workers {
		approved = append(approved, [2]string{id, "ticket-" + id})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"approvedWorkers": approved, "validityMs": 2500}) // fails only if the client has disconnected
}
