package admission

import "time"

const (
	// maxRefusedIDs bounds the refused submissions that a node remembers, about 100 bytes each.
	maxRefusedIDs = 8192
	// refusedIDAge is how long they are remembered: a caller is asked to come back after at most
	// 60 s.
	refusedIDAge = 2 * time.Minute
)

// refusedIDs remembers the submissions that were refused last. The zero value is empty.
type refusedIDs struct {
	at map[string]time.Duration
	// order holds the IDs in the order of their first refusal. Some are forgotten already, or
	// stand there twice.
	order []string
}

func (r *refusedIDs) has(id string, now time.Duration) bool {
	at, ok := r.at[id]
	return ok && now-at < refusedIDAge
}

func (r *refusedIDs) add(id string, now time.Duration) {
	if r.at == nil {
		r.at = make(map[string]time.Duration)
	}
	if _, ok := r.at[id]; !ok {
		r.order = append(r.order, id)
	}
	r.at[id] = now
	for len(r.order) > 0 && (len(r.order) > maxRefusedIDs || !r.has(r.order[0], now)) {
		delete(r.at, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *refusedIDs) remove(id string) bool {
	_, ok := r.at[id]
	delete(r.at, id)
	return ok
}
