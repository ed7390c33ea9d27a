package runner

import "sync"

// executionStats counts executions, per request ID and in total, refused requests
// and the peak number of slots in use.
type executionStats struct {
	mu          sync.Mutex
	byRequestID map[string]int
	total       int
	refused     int
	peakSlots   int
}

func (r *executionStats) countExecution(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byRequestID[id]++
	r.total++
}
