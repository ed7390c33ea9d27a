package registry

import (
	"hash/maphash"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/platform"
)

// shardCount is the number of shards of the submissions, each with its own lock.
const shardCount = 16

// Listener is notified of changes in the order of the log.
type Listener interface {
	// Submitted is called once for each submission, when its place in the log has been read.
	Submitted(e Entry)
	// CancelRequested is called for each record of a cancellation, also for a tombstone whose
	// submission has been read. A submission that follows its tombstone is passed to Submitted
	// as cancelled.
	CancelRequested(id string)
}

// Registry is the state of the work topic as far as it has been read. Apply is
// called by one goroutine. All other methods are safe for concurrent use.
type Registry struct {
	log    *slog.Logger
	faults logging.FaultLog
	seed   maphash.Seed
	shards [shardCount]shard
	// storage is locked while a shard is, never the other way round.
	storage storage

	mu          sync.RWMutex
	owner       Ownership
	ownerOffset uint64
	// formerToken is the token of the last ownership that was read before the present one.
	formerToken int64
	ownerWrites int64
	hosts       map[string]Host
	listener    Listener
	runTimes    runTimes
	load        Load
	// applied is the offset after the last record that was applied.
	applied uint64
}

// New returns an empty registry.
func New(log *slog.Logger) *Registry {
	r := &Registry{log: log, seed: maphash.MakeSeed(), hosts: make(map[string]Host), storage: storage{byTeam: make(map[string]int64)}}
	for i := range r.shards {
		r.shards[i].entries = make(map[string]*Entry)
		r.shards[i].tombstones = make(tombstones)
	}
	return r
}

func (r *Registry) shard(id string) *shard {
	return &r.shards[maphash.String(r.seed, id)%shardCount]
}

// SetListener sets the listener that is notified of changes; nil for none. A call
// of the old listener may still be in progress when it returns.
func (r *Registry) SetListener(l Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener = l
}

// Apply applies one record in the order of the log.
func (r *Registry) Apply(rec platform.Record) { r.apply(rec, inOrder) }

func (r *Registry) apply(rec platform.Record, order readOrder) {
	if order != ahead {
		defer r.setApplied(rec.Offset + 1)
	}
	var err error
	switch key := rec.Key; {
	case key == keyOwner:
		err = r.applyOwner(rec)
	case strings.HasPrefix(key, prefixHost):
		err = r.applyHost(key[len(prefixHost):], rec)
	case strings.HasPrefix(key, prefixSubmission):
		err = r.applySubmission(key[len(prefixSubmission):], rec, order)
	case strings.HasPrefix(key, prefixProgress):
		err = r.applyProgressKey(key[len(prefixProgress):], rec)
	case strings.HasPrefix(key, prefixCancel):
		err = r.applyCancel(key[len(prefixCancel):], rec)
	case strings.HasPrefix(key, prefixTombstone):
		err = r.applyTombstone(rec)
	case key == keyRunTimes:
		err = r.applyRunTimes(rec)
	case strings.HasPrefix(key, prefixMark):
	case key == keyLoad:
		err = r.applyLoad(rec)
	default:
		err = cell.NewFieldError(object(rec), "key", key, "a key of the cell")
	}
	if err != nil {
		r.faults.Fault(r.log, slog.LevelError, "A record cannot be decoded and is ignored.", rec.Key, err, "offset", rec.Offset)
		return
	}
	r.faults.Resolved(rec.Key)
}

func (r *Registry) setApplied(end uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = max(r.applied, end)
}

// Applied returns the offset after the last record that was applied.
func (r *Registry) Applied() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.applied
}

func (r *Registry) applyOwner(rec platform.Record) error {
	o, err := decodeOwnership(rec)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Offset < r.ownerOffset || o.Token < r.owner.Token {
		return nil
	}
	if o.Token > r.owner.Token {
		r.formerToken = r.owner.Token
	}
	r.owner, r.ownerOffset = o, rec.Offset
	r.ownerWrites++
	return nil
}

func (r *Registry) applyHost(id string, rec platform.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownerWrites++
	if len(rec.Value) == 0 {
		delete(r.hosts, id)
		return nil
	}
	h, err := decodeHost(id, rec)
	if err != nil {
		return err
	}
	r.hosts[id] = h
	return nil
}

func (r *Registry) currentListener() Listener {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listener
}

func (r *Registry) countOwnerWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownerWrites++
}

// Find returns a copy of the entry of a submission, without the parts of a divided progress;
// false if there is none.
func (r *Registry) Find(id string) (Entry, bool) {
	s := r.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[id]
	if e == nil || e.Submission == nil {
		return Entry{}, false
	}
	c := *e
	c.parts = nil
	return c, true
}

// All returns a copy of every entry, in the order in which submissions were accepted, without
// those that were read ahead of their place in the log.
func (r *Registry) All() []Entry {
	var all []Entry
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			if e.Submission != nil && !e.ahead {
				all = append(all, e.copied())
			}
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b Entry) int {
		if a.Offset != b.Offset {
			if a.Offset < b.Offset {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Submission.ID, b.Submission.ID)
	})
	return all
}

// Pending returns the number of accepted submissions that have not started, of those whose queue
// at the time of acceptance belongs to the queue that is asked for.
func (r *Registry) Pending(belongs func(accepted *cell.Queue) bool) (n int) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, e := range s.entries {
			if e.Submission != nil && e.State() == cell.Queued && !e.Expired() && belongs(&e.Submission.Queue) {
				n++
			}
		}
		s.mu.RUnlock()
	}
	return n
}

// Owner returns the ownership and the number of ownership records, progress records and
// host records read so far. A rising number shows that the owner is alive.
func (r *Registry) Owner() (o Ownership, ownerWrites int64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owner, r.ownerWrites
}

// FormerToken returns the token of the last ownership that was read before the present one; zero
// if there was none.
func (r *Registry) FormerToken() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.formerToken
}

// OwnerOffset returns the log offset of the newest ownership record.
func (r *Registry) OwnerOffset() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ownerOffset
}

// Hosts returns the stored hosts by ID.
func (r *Registry) Hosts() map[string]Host {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.hosts)
}

// Len returns the number of entries, including those whose submission has not been
// read yet.
func (r *Registry) Len() (n int) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		n += len(s.entries)
		s.mu.RUnlock()
	}
	return n
}
