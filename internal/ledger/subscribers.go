package ledger

import "sync"

// subscribers are the functions that get the events of a replica.
type subscribers struct {
	mu   sync.Mutex
	next int
	// list is replaced, never changed, so that publish needs no lock while
	// it calls.
	list []subscriber
}

type subscriber struct {
	id int
	f  func([]Event)
}

// Subscribe calls f with the events of every applied record, in order, until
// the returned function is called. f must neither block nor change the slice,
// and must not apply records. It may read the replica.
func (r *Replica) Subscribe(f func([]Event)) (cancel func()) {
	s := &r.subscribers
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
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
		sub.f(events)
	}
}
