package membership

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Node is a process of the system as it tells the others.
type Node struct {
	Name string `json:"name"`
	// Boot tells the lives of a node's process apart.
	Boot    string `json:"boot"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Power is the node's share of a core; the most powerful nodes follow the
	// work topic and own the cell first.
	Power float64 `json:"power,omitempty"`
	// Follows is set once the node has read the work topic.
	Follows bool `json:"follows,omitempty"`
	// Left is set by a planned stop.
	Left bool `json:"left,omitempty"`
	// Beat makes heartbeats differ.
	Beat int64 `json:"beat,omitempty"`
}

const (
	// FollowerBeat is the time between the heartbeats of a node that follows the
	// work topic, and IdleBeat that of the others, of which there may be many.
	FollowerBeat = 2 * time.Second
	IdleBeat     = 10 * time.Second
	// missedBeats is how many heartbeats may be missing before a node counts as gone.
	missedBeats = 3
)

// BeatEvery returns the time between two heartbeats of a node.
func (n Node) BeatEvery() time.Duration {
	if n.Follows {
		return FollowerBeat
	}
	return IdleBeat
}

// Record returns the record that tells the others of a node.
func Record(n Node) platform.Record {
	data, err := json.Marshal(n)
	if err != nil {
		panic(eris.Wrapf(err, "encode node %q", n.Name)) // all values are plain
	}
	return platform.Record{Key: n.Name, Value: data}
}
