package admission

import "time"

const (
	// maxRefusedIDs bounds the refusals that a node remembers, about 100 bytes each.
	maxRefusedIDs = 8192
	// refusedIDAge is how long they are remembered: a caller is asked to come back after at most
	// 60 s.
	refusedIDAge = 2 * time.Minute
)

// refusedIDs remembers the submissions that were refused last. The zero value is empty.
type refusedIDs struct {
	at map[string]time.Duration
	// order holds the refusals in their order. Only the last one of an ID counts.
	order []refusedID
}

type refusedID struct {
	id string
	at time.Duration
}

func (r *refusedIDs) has(id string, now time.Duration) bool {
	at, ok := r.at[id]
	return ok && now-at < refusedIDAge
}

func (r *refusedIDs) add(id string, now time.Duration) {
	if r.at == nil {
		r.at = make(map[string]time.Duration)
	}
	r.at[id] = now
	r.order = append(r.order, refusedID{id, now})
	for len(r.order) > maxRefusedIDs || now-r.order[0].at >= refusedIDAge {
		first := r.order[0]
		if at, ok := r.at[first.id]; ok && at == first.at {
			delete(r.at, first.id)
		}
		r.order = r.order[1:]
	}
}

func (r *refusedIDs) remove(id string) bool {
	_, ok := r.at[id]
	delete(r.at, id)
	return ok
}
