package runner

import "sync"

// record counts executions by request id.
type record struct {
	mu      sync.Mutex
	counts  map[string]int
	total   int
	refused int
	highest int
}

func (r *record) executed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
	r.total++
}
