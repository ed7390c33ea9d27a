package membership

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a living process that counts as replaced, or whose record is hidden, by
// heartbeats of earlier processes of its node that are stored late.
func TestLateHeartbeatsReplaceNoLivingProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(slog.New(slog.DiscardHandler))
		var living, newest Node
		var late []Node
		offset := uint64(0)
		store := func(n Node) {
			offset++
			r := Record(n)
			r.Offset = offset
			table.Apply(r, time.Second)
			newest = n
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // the process is killed, and the next one begins
				living = Node{Name: "n", InstanceID: strconv.Itoa(step), Address: "10.0.0.1:7420"}
				if newest.Name != "" {
					living = living.Replacing(newest)
				}
			case 1:
				if living.Name != "" {
					late = append(late, living)
				}
			case 2:
				if len(late) > 0 {
					store(late[0])
					late = late[1:]
				}
			default:
				if living.Name != "" {
					store(living)
					if shown := table.Nodes()["n"].InstanceID; shown != living.InstanceID {
						t.Fatalf("the table shows process %s, want the living one %s", shown, living.InstanceID)
					}
				}
			}
			if table.Nodes()["n"].HasReplaced(living.InstanceID) {
				t.Fatalf("the living process %s counts as replaced by %s", living.InstanceID, table.Nodes()["n"].InstanceID)
			}
		}
	})
}

// Guards against a heartbeat that is stored late and brings back the address of a process that
// has ended.
func TestLateHeartbeatOfReplacedProcessIsIgnored(t *testing.T) {
	table := NewTable(slog.New(slog.DiscardHandler))
	killed := Node{Name: "n", InstanceID: "killed", Address: "10.0.0.1:7420"}
	living := Node{Name: "n", InstanceID: "later", Address: "10.0.0.1:7421"}.Replacing(killed)
	for offset, n := range []Node{killed, living, killed} {
		r := Record(n)
		r.Offset = uint64(offset + 1)
		table.Apply(r, time.Second)
	}
	if got := table.Nodes()["n"]; got.InstanceID != living.InstanceID {
		t.Errorf("the table shows process %s at %s, want the living one", got.InstanceID, got.Address)
	}
}

// Guards against heartbeats that grow with each restart of a node.
func TestReplacedProcessesAreBounded(t *testing.T) {
	n := Node{InstanceID: "0"}
	for i := range 2 * maxReplaced {
		n = Node{InstanceID: strconv.Itoa(i + 1)}.Replacing(n)
		if !n.HasReplaced(strconv.Itoa(i)) {
			t.Errorf("process %d does not list its predecessor", i+1)
		}
	}
	if len(n.Replaced) != maxReplaced {
		t.Errorf("%d earlier processes are listed, want %d", len(n.Replaced), maxReplaced)
	}
}
