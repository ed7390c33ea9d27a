package membership

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Table holds the last record of each node that this process has read.
type Table struct {
	log *slog.Logger

	mu     sync.RWMutex
	nodes  map[string]member
	faults logging.FaultLog
}

// member is the last record of a node, with its offset and the time it was read.
type member struct {
	Node
	offset uint64
	readAt time.Duration
}

// NewTable returns an empty table.
func NewTable(log *slog.Logger) *Table {
	return &Table{log: log, nodes: make(map[string]member)}
}

// Apply applies a record of the nodes topic that was read at time now. A record
// that is read a second time, as happens after the history has been trimmed, does
// not count as a heartbeat, nor does one of a process that the known one has replaced, which
// was stored late. An empty record removes the node.
func (t *Table) Apply(r platform.Record, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Value) == 0 {
		delete(t.nodes, r.Key)
		return
	}
	n, err := decode(r)
	if err != nil {
		t.faults.Fault(t.log, slog.LevelError, "The record of a node cannot be decoded and is ignored.", r.Key, err, "offset", r.Offset)
		return
	}
	t.faults.Resolved(r.Key)
	if old, ok := t.nodes[n.Name]; ok && (r.Offset != 0 && r.Offset <= old.offset || old.HasReplaced(n.InstanceID)) {
		return
	}
	t.nodes[n.Name] = member{Node: n, offset: r.Offset, readAt: now}
}

// BeginNewest prepares the table for the newest record of each node, which Apply applies
// after it: it forgets the nodes that have none, since they were removed while the topic was
// not read.
func (t *Table) BeginNewest(records []platform.Record) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = len(r.Value) > 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.nodes, func(name string, _ member) bool { return !present[name] })
}

// Nodes returns every node with a record by name, including nodes that have left or
// are considered failed.
func (t *Table) Nodes() map[string]Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]Node, len(t.nodes))
	for name, m := range t.nodes {
		out[name] = m.Node
	}
	return out
}

// Alive returns the nodes that have neither left nor missed too many heartbeats.
// asOf is the time up to which the topic has been read. It does not advance while
// the store cannot be read, so that no node is considered failed then.
func (t *Table) Alive(asOf time.Duration) []Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Node, 0, len(t.nodes))
	for _, m := range t.nodes {
		if !m.Left && asOf-m.readAt < maxMissedHeartbeats*m.HeartbeatInterval() {
			out = append(out, m.Node)
		}
	}
	return out
}
