package node

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// maxKeptRevisions is the number of revisions kept for comparison.
const maxKeptRevisions = 64

// configuration is the decoded form of the published objects.
type configuration struct {
	revision uint64
	set      *objects.Set
	contract scheduler.Contract
	// upstreams holds the published upstreams by their name in the host list.
	upstreams map[string]objects.Upstream
}

// configurations decodes each revision of the replica once and keeps the latest
// maxKeptRevisions of them.
type configurations struct {
	mu      sync.RWMutex
	current *configuration
	history map[uint64][]objects.Object
	order   []uint64
}

func newConfigurations() *configurations {
	empty, _ := objects.NewSet(nil)
	return &configurations{
		current: &configuration{set: empty, contract: empty.Contract(0)},
		history: map[uint64][]objects.Object{0: nil}, order: []uint64{0},
	}
}

// get returns the configuration in force.
func (c *configurations) get() *configuration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.current
}

// update decodes a newer revision. An older one is ignored, so that the
// configuration of a process never reverts.
func (c *configurations) update(in ledger.Configuration) (changed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Revision <= c.current.revision {
		return false, nil
	}
	list := objectList(in.Objects)
	set, err := objects.NewSet(list)
	if err != nil {
		return false, err
	}
	c.current = &configuration{revision: in.Revision, set: set, contract: set.Contract(in.Revision), upstreams: map[string]objects.Upstream{}}
	for _, u := range set.Upstreams {
		c.current.upstreams[u.Service] = u
	}
	c.history[in.Revision] = list
	c.order = append(c.order, in.Revision)
	if len(c.order) > maxKeptRevisions {
		delete(c.history, c.order[0])
		c.order = c.order[1:]
	}
	return true, nil
}

// objectsAt returns the objects of a revision, false if it is not kept.
func (c *configurations) objectsAt(revision uint64) ([]objects.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list, ok := c.history[revision]
	return list, ok
}

// objectList converts objects of the ledger to published objects.
func objectList(in []*ledger.Object) []objects.Object {
	out := make([]objects.Object, 0, len(in))
	for _, o := range in {
		out = append(out, objects.Object{Kind: objects.Kind(o.Kind), Name: o.Name, Spec: json.RawMessage(o.Spec)})
	}
	return out
}

// validate checks a set of objects for the ledger.
func validate(in []*ledger.Object) []ledger.Problem {
	_, err := objects.NewSet(objectList(in))
	if err == nil {
		return nil
	}
	return problemsOf(err)
}

// problemsOf converts a validation error of a set of objects to the form of the
// ledger.
func problemsOf(err error) []ledger.Problem {
	faults, ok := err.(objects.Faults)
	if !ok {
		return []ledger.Problem{{Field: "set", Value: err.Error()}}
	}
	problems := make([]ledger.Problem, 0, len(faults))
	for _, f := range faults {
		kind, name, _ := strings.Cut(f.Object, "/")
		problems = append(problems, ledger.Problem{Kind: kind, Name: name, Field: f.Field, Value: f.Value, Want: f.Accepted})
	}
	return problems
}

// limitUnits returns the units of each limit, or nil if the objects are invalid.
func limitUnits(in []*ledger.Object) map[string]int64 {
	set, err := objects.NewSet(objectList(in))
	if err != nil {
		return nil
	}
	return set.LimitUnits()
}

// ledgerOptions returns options that give equal results on all nodes, because
// they depend on the objects alone.
func ledgerOptions() ledger.Options {
	return ledger.Options{Validate: validate, Limits: limitUnits}
}
