package ledger

import "sync"

// subscribers holds the callbacks that receive the events of a replica.
type subscribers struct {
	mu     sync.Mutex
	nextID int
	// list is replaced as a whole and never modified, so that publish can call the
	// callbacks without holding the lock.
	list []subscriber
}

type subscriber struct {
	id       int
	callback func([]Event)
}

// Subscribe registers f to be called with the events of every applied record, in
// order, until cancel is called. f must not block, change the slice or apply
// records. It may read the replica.
func (r *Replica) Subscribe(f func([]Event)) (cancel func()) {
	s := &r.subscribers
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.list = append(s.list[:len(s.list):len(s.list)], subscriber{id, f})
	return func() { s.remove(id) }
}

func (s *subscribers) remove(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make([]subscriber, 0, len(s.list))
	for _, sub := range s.list {
		if sub.id != id {
			kept = append(kept, sub)
		}
	}
	s.list = kept
}

func (s *subscribers) publish(events []Event) {
	s.mu.Lock()
	list := s.list
	s.mu.Unlock()
	for _, sub := range list {
		sub.callback(events)
	}
}
