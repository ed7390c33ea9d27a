package membership

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedCell is a set of nodes that share one table and decide independently.
type simulatedCell struct {
	now   time.Duration
	table *Table
	nodes map[string]*FollowPolicy
}

func newSimulatedCell(cores ...float64) *simulatedCell {
	s := &simulatedCell{now: time.Second, table: NewTable(slog.New(slog.DiscardHandler)), nodes: map[string]*FollowPolicy{}}
	for i, c := range cores {
		s.startNode(fmt.Sprintf("n%02d", i), "1", c)
	}
	return s
}

func (s *simulatedCell) startNode(name, instanceID string, cores float64) {
	n := Node{Name: name, InstanceID: instanceID, Address: "10.0.0.1:7420", Cores: cores}
	s.nodes[name] = &FollowPolicy{Self: n}
	s.table.Apply(Record(n), s.now)
}

// run advances the time. Nodes send heartbeats and start to follow when their policy
// says so.
func (s *simulatedCell) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += tick {
		for _, p := range s.nodes {
			if !p.Self.Follows && p.ShouldFollow(s.now, s.table.Alive(s.now)) {
				p.Self.Follows = true
				s.table.Apply(Record(p.Self), s.now)
			}
			if s.now%p.Self.HeartbeatInterval() == 0 {
				s.table.Apply(Record(p.Self), s.now)
			}
		}
	}
}

func (s *simulatedCell) following() (n int) {
	for _, p := range s.nodes {
		if p.Self.Follows {
			n++
		}
	}
	return n
}

// Guards against a cell in which every node bears the cost of following the work
// topic, and against nodes with few cores that follow while ones with more cores do
// not.
func TestOnlyNodesWithMostCoresFollow(t *testing.T) {
	cores := make([]float64, 42)
	for i := range cores {
		cores[i] = 0.2
		if i%5 == 0 {
			cores[i] = 0.8
		}
	}
	s := newSimulatedCell(cores...)
	s.run(5 * time.Second)
	if s.following() != targetFollowers {
		t.Errorf("%d nodes follow, want %d", s.following(), targetFollowers)
	}
	for name, p := range s.nodes {
		if p.Self.Follows && p.Self.Cores < 0.8 {
			t.Errorf("node %s with few cores follows", name)
		}
	}
}

// Guards against a small cell in which too few nodes follow the work topic.
func TestAllNodesOfASmallCellFollow(t *testing.T) {
	s := newSimulatedCell(1, 1, 1, 1, 1, 1, 1)
	s.run(2 * time.Second)
	if s.following() != len(s.nodes) {
		t.Errorf("%d of %d nodes follow", s.following(), len(s.nodes))
	}
}

// Guards against a cell with too few followers after a loss of nodes, and against
// one in which a loss makes every node follow.
func TestLostFollowersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.SliceOfN(rapid.SampledFrom([]float64{0.2, 0.8}), 10, 60).Draw(t, "powers")
		s := newSimulatedCell(cores...)
		s.run(5 * time.Second)
		for name := range s.nodes {
			if len(s.nodes) > 1 && rapid.Bool().Draw(t, "lost") {
				delete(s.nodes, name)
			}
		}
		s.run(40 * time.Second)
		if got, want := s.following(), min(minFollowers, len(s.nodes)); got < want {
			t.Fatalf("%d of %d nodes follow, want %d or more", got, len(s.nodes), want)
		}
		if got := s.following(); got > 2*targetFollowers {
			t.Fatalf("%d of %d nodes follow", got, len(s.nodes))
		}
	})
}

// Guards against nodes that are considered failed because the store is down and
// their heartbeats cannot be read.
func TestNoNodeFailsWhileTheStoreIsDown(t *testing.T) {
	s := newSimulatedCell(1, 1)
	if got := len(s.table.Alive(s.now)); got != 2 {
		t.Errorf("%d nodes are alive, want 2", got)
	}
	if got := len(s.table.Alive(s.now + maxMissedHeartbeats*NonFollowerHeartbeatInterval)); got != 0 {
		t.Errorf("%d nodes are alive after their heartbeats are missed, want 0", got)
	}
}
