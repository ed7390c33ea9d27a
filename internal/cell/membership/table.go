package membership

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Table is what one process knows of all processes.
type Table struct {
	log *slog.Logger

	mu    sync.RWMutex
	nodes map[string]member
}

// member is a node, its last record and when that was read.
type member struct {
	Node
	offset uint64
	heard  time.Duration
}

// NewTable returns an empty table.
func NewTable(log *slog.Logger) *Table {
	return &Table{log: log, nodes: make(map[string]member)}
}

// Apply applies the record of a node that was read at a time. A record that is
// read again, after the history was gone, is no sign of life.
func (t *Table) Apply(r platform.Record, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(r.Value) == 0 {
		delete(t.nodes, r.Key)
		return
	}
	var n Node
	if err := json.Unmarshal(r.Value, &n); err != nil {
		t.log.Error("The record of a node cannot be read and is ignored.", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if old, ok := t.nodes[n.Name]; ok && r.Offset != 0 && r.Offset <= old.offset {
		return
	}
	t.nodes[n.Name] = member{Node: n, offset: r.Offset, heard: now}
}

// Nodes returns every known node by name, those that are gone included.
func (t *Table) Nodes() map[string]Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[string]Node, len(t.nodes))
	for name, m := range t.nodes {
		out[name] = m.Node
	}
	return out
}

// Alive returns the nodes that have neither left nor missed their heartbeats.
// asOf is a time such that everything stored before it has been read: while
// the store cannot be read nobody is taken to be gone.
func (t *Table) Alive(asOf time.Duration) []Node {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Node, 0, len(t.nodes))
	for _, m := range t.nodes {
		if !m.Left && asOf-m.heard < missedBeats*m.BeatEvery() {
			out = append(out, m.Node)
		}
	}
	return out
}
