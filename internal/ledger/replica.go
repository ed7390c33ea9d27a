package ledger

import (
	"sync"

	"github.com/rotisserie/eris"
)

// Replica is a State that is safe for concurrent use. Readers get copies or
// immutable values. Apply and Restore must be called by one goroutine at a time,
// so that subscribers get the events in order.
type Replica struct {
	opts Options

	mu    sync.RWMutex
	state *State

	subscribers subscribers
}

// NewReplica returns a replica to which no record has been applied.
func NewReplica(opts Options) *Replica {
	return &Replica{opts: opts, state: New(opts)}
}

// Apply calls State.Apply. Subscribers are called with the events after the state
// has changed and before Apply returns.
func (r *Replica) Apply(offset uint64, payload []byte) ([]Event, error) {
	r.mu.Lock()
	events, err := r.state.Apply(offset, payload)
	r.mu.Unlock()
	if err == nil {
		r.subscribers.publish(events)
	}
	return events, err
}

// Snapshot returns the encoded state and the offset of the first record that it
// does not cover. The state is copied while the lock is held and encoded after
// the lock is released.
func (r *Replica) Snapshot() (data []byte, offset uint64, err error) {
	copied := readLocked(r, (*State).clone)
	data, err = copied.Snapshot()
	return data, copied.NextOffset, err
}

// Restore replaces the state with that of a snapshot. Subscribers get a Restored
// event and must read the state again. The error is ErrNotNewer if the snapshot is
// not newer than the state, or ErrInvalidSnapshot.
func (r *Replica) Restore(data []byte) error {
	state, err := FromSnapshot(r.opts, data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if state.NextOffset <= r.state.NextOffset {
		r.mu.Unlock()
		return eris.Wrapf(ErrNotNewer, "snapshot ends at %d, state at %d", state.NextOffset, r.state.NextOffset)
	}
	r.state = state
	r.mu.Unlock()
	r.subscribers.publish([]Event{Restored{Origin{Offset: state.NextOffset - 1, Index: -1}}})
	return nil
}
