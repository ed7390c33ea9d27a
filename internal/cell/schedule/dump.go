package schedule

import (
	"fmt"
	"maps"
	"slices"
)

// Explain returns why a submission is as it is, one line for each open step.
func (s *Scheduler) Explain(id string) (out []string) {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	for _, g := range j.groups {
		if g.left == 0 {
			continue
		}
		line := fmt.Sprintf("step %s: %d of %d tasks done, %d present, %d waiting", g.id, len(g.tasks)-g.left, len(g.tasks), g.present, g.waiting)
		if !g.open {
			line += ", its turn has not come"
		} else if g.wait != waitNone {
			line += ", " + g.wait.String()
		}
		if g.run != 0 {
			line += fmt.Sprintf(", gang run %d, breaking %t", g.run, g.breaking)
		}
		out = append(out, line)
	}
	return out
}

// Dump is the state of a cell for people.
type Dump struct {
	Hosts   []HostDump     `json:"hosts"`
	Teams   []TeamDump     `json:"teams"`
	Waiting map[string]int `json:"waiting_groups"`
	Jobs    int            `json:"jobs"`
}

// HostDump is the state of one host.
type HostDump struct {
	ID       string  `json:"id"`
	Usable   bool    `json:"usable"`
	Closed   bool    `json:"closed,omitempty"`
	Used     string  `json:"used"`
	Runs     int     `json:"runs"`
	Slowness float64 `json:"slowness"`
}

// TeamDump is what a team has present, against its limit.
type TeamDump struct {
	Name  string `json:"name"`
	Used  string `json:"used"`
	Limit string `json:"limit"`
}

// Dump returns the state of the cell.
func (s *Scheduler) Dump() Dump {
	d := Dump{Waiting: make(map[string]int), Jobs: len(s.jobs)}
	for _, h := range s.order {
		d.Hosts = append(d.Hosts, HostDump{
			ID: h.spec.ID, Usable: h.usable(s.now), Closed: h.closed, Used: h.used.String(), Runs: len(h.attempts), Slowness: h.health.slowness,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		d.Teams = append(d.Teams, TeamDump{Name: name, Used: t.used.String(), Limit: t.limit.String()})
	}
	for _, g := range s.groups {
		if g.open && g.waiting > 0 {
			d.Waiting[g.wait.String()]++
		}
	}
	return d
}
