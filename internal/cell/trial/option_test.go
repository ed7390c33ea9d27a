package trial

import (
	"slices"
	"testing"
)

func names(options []Option[string]) (out []string) {
	for _, o := range options {
		out = append(out, o.Host)
	}
	return out
}

// Guards against trials on hosts that the work did not use before, beside more runs than
// necessary, without a ticket, or for a gang on more hosts than necessary.
func TestHostsOfATrial(t *testing.T) {
	options := func() []Option[string] {
		return []Option[string]{
			{Host: "back", Rack: "1", Room: 9, GivenBack: true, Ticket: true},
			{Host: "busy", Rack: "1", Room: 3, Runs: 2},
			{Host: "small", Rack: "2", Room: 1},
			{Host: "ticket", Rack: "2", Room: 1, Ticket: true},
		}
	}
	for name, c := range map[string]struct {
		n, most int
		gang    bool
		racks   []string
		want    []string
	}{
		"one task":                 {1, 3, false, nil, []string{"ticket"}},
		"a gang on few hosts":      {3, 3, true, nil, []string{"busy"}},
		"a wider gang":             {5, 4, true, nil, []string{"busy", "ticket", "small"}},
		"more hosts than may be":   {5, 2, true, nil, nil},
		"a preferred rack":         {1, 3, false, []string{"1"}, []string{"busy"}},
		"the rack has no room":     {3, 3, true, []string{"2"}, []string{"busy"}},
		"given back, if necessary": {10, 4, true, nil, []string{"busy", "ticket", "small", "back"}},
		"no room at all":           {99, 4, true, nil, nil},
	} {
		if got := names(Pick(options(), c.n, c.most, c.gang, c.racks)); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a gang that waits for a trial for which no number of hosts suffices, or more
// than it may hold.
func TestHostsNeeded(t *testing.T) {
	for _, c := range []struct {
		rooms       []int
		tasks, want int
	}{{[]int{1, 3, 2}, 4, 2}, {[]int{1, 3, 2}, 6, 3}, {[]int{1, 3, 2}, 7, 0}, {nil, 1, 0}} {
		if got := HostsNeeded(slices.Clone(c.rooms), c.tasks); got != c.want {
			t.Errorf("%d tasks on hosts with room for %v need %d hosts, want %d", c.tasks, c.rooms, got, c.want)
		}
	}
}
