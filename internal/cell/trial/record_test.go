package trial

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against a trial of an earlier owner that counts against a task though its hosts have
// not crashed, and against one that crashed its host and is forgotten.
func TestUnknownOutcomeOfATrial(t *testing.T) {
	on := []cell.HostInstance{{ID: "a", StartedMs: 5}}
	caused, silent := cell.Crash{Run: 7, Recent: true, Suspects: 1}, cell.Crash{Run: 7, Silent: true}
	for name, c := range map[string]struct {
		hosts   []cell.HostInstance
		life    *Life
		crashed bool
		want    cell.Crash
	}{
		"the same lifetime":  {on, &Life{StartedMs: 5}, false, cell.Crash{}},
		"another lifetime":   {on, &Life{StartedMs: 6}, true, caused},
		"restarted since":    {on, &Life{StartedMs: 5, Restarted: true}, true, caused},
		"the host is gone":   {on, nil, true, caused},
		"no answer yet":      {on, &Life{}, true, silent},
		"hosts not recorded": {nil, &Life{StartedMs: 5}, true, caused},
	} {
		r := Record{Run: 7, Hosts: c.hosts}
		got, crashed := r.Crash(func(string) *Life { return c.life })
		if crashed != c.crashed || crashed && (got.Run != c.want.Run || got.Recent != c.want.Recent || got.Silent != c.want.Silent || got.Suspects != c.want.Suspects) {
			t.Errorf("%s: %+v, crashed %t; want %+v, %t", name, got, crashed, c.want, c.crashed)
		}
	}
}

// Guards against a record that names the hosts of an earlier run, and against a change of a
// stored copy.
func TestRecordNamesTheHostsOfItsRun(t *testing.T) {
	var r Record
	a, b := cell.HostInstance{ID: "a"}, cell.HostInstance{ID: "b"}
	if !r.Begin(1, a) || r.Begin(1, a) || !r.Begin(1, b) || len(r.Hosts) != 2 {
		t.Errorf("the record is %+v", r)
	}
	stored := r.Hosts
	if !r.Begin(2, b) || len(r.Hosts) != 1 || r.Hosts[0] != b || stored[0] != a {
		t.Errorf("the record of the next run is %+v, the stored copy %+v", r, stored)
	}
	r.End()
	if r.Run != 0 || r.Hosts != nil {
		t.Errorf("the record is %+v after its end", r)
	}
}
