package membership

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Node is the description of a node that its process publishes in the nodes
// topic. Each publication is a heartbeat.
type Node struct {
	Name string `json:"name"`
	// InstanceID is the random ID of the process. It differs between successive
	// processes of a node.
	InstanceID string `json:"boot"`
	// Address is where the node accepts calls of other nodes.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Cores is the number of processor cores that the node may use; it may be less
	// than one. Nodes with more cores are preferred as followers of the work topic
	// and as owners of the cell.
	Cores float64 `json:"power,omitempty"`
	// Follows is set once the node has read the work topic.
	Follows bool `json:"follows,omitempty"`
	// Left is set when the process shuts down gracefully.
	Left bool `json:"left,omitempty"`
	// Heartbeat counts the heartbeats of the process, so that each record differs.
	Heartbeat int64 `json:"beat,omitempty"`
	// Replaced are the instance IDs of earlier processes of the node, the last one at the end.
	// They have ended, since the process listens at their address.
	Replaced []string `json:"replaced,omitempty"`
}

const (
	// FollowerHeartbeatInterval is the time between two heartbeats of a node that
	// follows the work topic. NonFollowerHeartbeatInterval is that of the other nodes;
	// it is longer, since there may be many of them.
	FollowerHeartbeatInterval    = 2 * time.Second
	NonFollowerHeartbeatInterval = 10 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which a node is considered failed.
	maxMissedHeartbeats = 3
)

// HeartbeatInterval returns the time between two heartbeats of a node.
func (n Node) HeartbeatInterval() time.Duration {
	if n.Follows {
		return FollowerHeartbeatInterval
	}
	return NonFollowerHeartbeatInterval
}

// Record returns the record of a node for the nodes topic.
func Record(n Node) platform.Record {
	data, err := json.Marshal(n)
	if err != nil {
		panic(eris.Wrapf(err, "encode node %q", n.Name)) // cannot happen: JSON can encode all fields
	}
	return platform.Record{Key: n.Name, Value: data}
}
