package membership

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a living process that counts as replaced, or whose record is hidden, by
// heartbeats of other processes of its node: some are stored late, and a process at another
// address may begin before the former one has ended.
func TestHeartbeatsReplaceNoLivingProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(slog.New(slog.DiscardHandler))
		living := make(map[string]Node) // by address
		var newest Node
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
			address := rapid.SampledFrom([]string{"10.0.0.1:7420", "10.0.0.2:7420"}).Draw(t, "address")
			n, runs := living[address]
			switch event := rapid.IntRange(0, 4).Draw(t, "event"); {
			case event == 0: // the process is killed, and the next one begins
				living[address] = Node{Name: "n", InstanceID: strconv.Itoa(step), Address: address}.Replacing(newest)
			case event == 1 && runs: // the history was trimmed
				living[address] = n.Replacing(newest)
			case event == 2 && runs:
				late = append(late, n)
			case event == 3 && len(late) > 0:
				store(late[0])
				late = late[1:]
			case event == 4 && runs:
				store(n)
				if shown := table.Nodes()["n"].InstanceID; shown != n.InstanceID {
					t.Fatalf("the table shows process %s, want %s, which has written last", shown, n.InstanceID)
				}
			}
			shown := table.Nodes()["n"]
			for _, n := range living {
				if shown.HasReplaced(n.InstanceID) {
					t.Fatalf("the living process %s counts as replaced by %s", n.InstanceID, shown.InstanceID)
				}
			}
		}
	})
}

// Guards against a heartbeat that is stored late and brings back the address of a process that
// has ended.
func TestLateHeartbeatOfReplacedProcessIsIgnored(t *testing.T) {
	table := NewTable(slog.New(slog.DiscardHandler))
	killed := Node{Name: "n", InstanceID: "killed", Address: "10.0.0.1:7420"}
	living := Node{Name: "n", InstanceID: "later", Address: "10.0.0.1:7421", Replaced: []string{killed.InstanceID}}
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
	const address = "10.0.0.1:7420"
	n := Node{InstanceID: "0", Address: address}
	for i := range 2 * maxReplaced {
		n = Node{InstanceID: strconv.Itoa(i + 1), Address: address}.Replacing(n)
		if !n.HasReplaced(strconv.Itoa(i)) {
			t.Errorf("process %d does not list its predecessor", i+1)
		}
	}
	if len(n.Replaced) != maxReplaced {
		t.Errorf("%d earlier processes are listed, want %d", len(n.Replaced), maxReplaced)
	}
}

// Guards against a process that counts as ended since another one of its node listens at the same
// unspecified address of another machine.
func TestUnspecifiedAddressShowsNoReplacement(t *testing.T) {
	former := Node{InstanceID: "former", Address: "[::]:7420"}
	if (Node{InstanceID: "later", Address: "[::]:7420"}).Replacing(former).HasReplaced("former") {
		t.Error("the former process counts as replaced")
	}
}
