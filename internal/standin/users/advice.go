package users

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Advice approves every host for every step, one call at a time.
type Advice struct {
	server *httptest.Server
	mu     sync.Mutex
	took   time.Duration
}

// NewAdvice returns a service whose calls take some time.
func NewAdvice(took time.Duration) *Advice {
	a := &Advice{took: took}
	a.server = httptest.NewServer(http.HandlerFunc(a.serve))
	return a
}

// Address returns HOST:PORT.
func (a *Advice) Address() string { return a.server.Listener.Addr().String() }

// Close ends the service.
func (a *Advice) Close() { a.server.Close() }

func (a *Advice) serve(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(a.took)
	rows := [][2]string{}
	for _, id := range o.Workers {
		rows = append(rows, [2]string{id, "ticket-" + id})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"approvedWorkers": rows, "validityMs": 2500}) // a caller that has left needs no answer
}
