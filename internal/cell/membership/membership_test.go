package membership

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulated is a set of nodes that decide for themselves on one table.
type simulated struct {
	now   time.Duration
	table *Table
	nodes map[string]*Following
}

func newSimulated(powers ...float64) *simulated {
	s := &simulated{now: time.Second, table: NewTable(slog.New(slog.DiscardHandler)), nodes: map[string]*Following{}}
	for i, p := range powers {
		s.boot(fmt.Sprintf("n%02d", i), "1", p)
	}
	return s
}

func (s *simulated) boot(name, boot string, power float64) {
	n := Node{Name: name, Boot: boot, Power: power}
	s.nodes[name] = &Following{Self: n}
	s.table.Apply(Record(n), s.now)
}

// run lets time pass; nodes beat and begin to follow when it is due.
func (s *simulated) run(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += tick {
		for _, f := range s.nodes {
			if !f.Self.Follows && f.Due(s.now, s.table.Alive(s.now)) {
				f.Self.Follows = true
				s.table.Apply(Record(f.Self), s.now)
			}
			if s.now%f.Self.BeatEvery() == 0 {
				s.table.Apply(Record(f.Self), s.now)
			}
		}
	}
}

func (s *simulated) following() (n int) {
	for _, f := range s.nodes {
		if f.Self.Follows {
			n++
		}
	}
	return n
}

// Guards against a cell in which every node pays for all work, and against one
// whose weak nodes follow while powerful ones do not.
func TestOnlyTheMostPowerfulFollow(t *testing.T) {
	powers := make([]float64, 42)
	for i := range powers {
		powers[i] = 0.2
		if i%5 == 0 {
			powers[i] = 0.8
		}
	}
	s := newSimulated(powers...)
	s.run(5 * time.Second)
	if s.following() != wanted {
		t.Errorf("%d nodes follow, want %d", s.following(), wanted)
	}
	for name, f := range s.nodes {
		if f.Self.Follows && f.Self.Power < 0.8 {
			t.Errorf("weak node %s follows", name)
		}
	}
}

// Guards against a small cell in which too few nodes know the work.
func TestAllNodesOfASmallCellFollow(t *testing.T) {
	s := newSimulated(1, 1, 1, 1, 1, 1, 1)
	s.run(2 * time.Second)
	if s.following() != len(s.nodes) {
		t.Errorf("%d of %d nodes follow", s.following(), len(s.nodes))
	}
}

// Guards against a cell without a follower after any loss of nodes, and against
// one in which a loss makes every node follow.
func TestLostFollowersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		powers := rapid.SliceOfN(rapid.SampledFrom([]float64{0.2, 0.8}), 10, 60).Draw(t, "powers")
		s := newSimulated(powers...)
		s.run(5 * time.Second)
		for name := range s.nodes {
			if len(s.nodes) > 1 && rapid.Bool().Draw(t, "lost") {
				delete(s.nodes, name)
			}
		}
		s.run(40 * time.Second)
		if got, want := s.following(), min(enough, len(s.nodes)); got < want {
			t.Fatalf("%d of %d nodes follow, want %d or more", got, len(s.nodes), want)
		}
		if got := s.following(); got > 2*wanted {
			t.Fatalf("%d of %d nodes follow", got, len(s.nodes))
		}
	})
}

// Guards against nodes that are taken to be gone because the store is down.
func TestNobodyIsGoneWhileTheStoreIsDown(t *testing.T) {
	s := newSimulated(1, 1)
	if got := len(s.table.Alive(s.now)); got != 2 {
		t.Errorf("%d nodes are alive, want 2", got)
	}
	if got := len(s.table.Alive(s.now + missedBeats*IdleBeat)); got != 0 {
		t.Errorf("%d nodes are alive after their heartbeats are missed, want 0", got)
	}
}
