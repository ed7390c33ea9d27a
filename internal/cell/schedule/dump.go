package schedule

import (
	"fmt"
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// Explain describes the progress of a submission, one line for each step that is
// not done, and why a step waits, if the reason is recorded.
func (s *Scheduler) Explain(id string) (out []string) {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	if j.left > 0 && len(j.groups) == 0 {
		return []string{fmt.Sprintf("%d tasks are left; none is due, or the owner holds as many tasks as it may", j.left)}
	}
	for _, g := range j.groups {
		if g.left == 0 {
			continue
		}
		line := fmt.Sprintf("step %s: %d of %d tasks done, %d present, %d waiting", g.id, len(g.tasks)-g.left, len(g.tasks), g.present, g.waiting)
		if !g.ready {
			line += ", waits for earlier steps or for its due time"
		} else if g.waitReason != waitNone {
			line += ", " + g.waitReason.String()
		}
		if g.ready {
			line += s.explainEvacuation(g)
		}
		if g.run != 0 {
			line += fmt.Sprintf(", gang run %d, a member has ended: %t", g.run, g.memberEnded)
		}
		out = append(out, line)
	}
	return out
}

// Dump is the state of a cell for operators.
type Dump struct {
	Hosts []HostDump `json:"hosts"`
	// Evacuated holds the evacuated zones. StartsHeld is set while nothing starts, since it
	// is not known which zones are evacuated.
	Evacuated  []ZoneDump     `json:"evacuated_zones,omitempty"`
	StartsHeld bool           `json:"starts_held,omitempty"`
	Teams      []TeamDump     `json:"teams"`
	Waiting    map[string]int `json:"waiting_groups"`
	Jobs       int            `json:"jobs"`
	GangRoom   GangRoom       `json:"gang_room"`
	// GangMembers is the mean size of the members of recent gangs by service.
	GangMembers map[string]string `json:"gang_members,omitempty"`
	// Weight is how much the owner holds, in tasks, and Deferred the number of submissions
	// that wait until it may hold theirs.
	Weight   int `json:"weight"`
	Deferred int `json:"deferred"`
	// Suspected is the number of submissions that may have crashed a host.
	Suspected int `json:"suspected"`
	// Queues holds the queues whose tasks have crashed hosts of late.
	Queues []QueueDump `json:"queues_with_crashes,omitempty"`
	// RunTimes is what is learned from ended runs.
	RunTimes []runtimes.Entry `json:"run_times,omitempty"`
	// RunTimesEvicted is the number of keys that were removed from it for others.
	RunTimesEvicted int64 `json:"run_times_evicted,omitempty"`
}

// QueueDump is how often the tasks of a queue have crashed their hosts of late.
type QueueDump struct {
	Name       string  `json:"name"`
	CrashShare float64 `json:"crash_share"`
	HostsDown  float64 `json:"hosts_down"`
}

// HostDump is the state of one host.
type HostDump struct {
	ID        string  `json:"id"`
	Usable    bool    `json:"usable"`
	Evacuated bool    `json:"evacuated,omitempty"`
	Closed    bool    `json:"closed,omitempty"`
	Used      string  `json:"used"`
	Runs      int     `json:"runs"`
	Slowness  float64 `json:"slowness"`
	// QuarantinedFor is the step under trial for which the host is kept free.
	QuarantinedFor string `json:"quarantined_for,omitempty"`
}

// TeamDump is the resource usage of a team and its limit.
type TeamDump struct {
	Name  string `json:"name"`
	Used  string `json:"used"`
	Limit string `json:"limit"`
	// Usage is the dominant share of the cell that the team uses, and Balance what it was entitled
	// to and has not used, in shares times seconds; negative if it has used more.
	Usage   float64 `json:"usage,omitempty"`
	Balance float64 `json:"balance,omitempty"`
	Share   float64 `json:"share,omitempty"`
	Deficit float64 `json:"deficit,omitempty"`
}

// Dump returns the state of the cell.
func (s *Scheduler) Dump() Dump {
	d := Dump{Waiting: make(map[string]int), Jobs: len(s.jobs), Weight: s.weight, Deferred: len(s.deferred), Evacuated: s.dumpZones(), StartsHeld: s.startsHeld, GangRoom: s.GangRoom()}
	for service, m := range s.gangMembers {
		if d.GangMembers == nil {
			d.GangMembers = make(map[string]string)
		}
		d.GangMembers[service] = m.Size().String()
	}
	for _, h := range s.sortedHosts {
		hd := HostDump{
			ID: h.spec.ID, Usable: h.usable(s.now), Evacuated: h.evacuated, Closed: h.closed, Used: h.used.String(), Runs: len(h.runs), Slowness: h.health.slowness,
		}
		if h.quarantinedFor != nil {
			hd.QuarantinedFor = h.quarantinedFor.id.String()
		}
		d.Hosts = append(d.Hosts, hd)
	}
	for _, name := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[name]
		td := TeamDump{Name: name, Used: t.used.String(), Limit: t.limit.String()}
		if a := t.account; a != nil {
			td.Usage, td.Balance, td.Share, td.Deficit = a.Usage, a.Balance, a.Entitled, a.Deficit()
		}
		d.Teams = append(d.Teams, td)
	}
	for _, j := range s.jobs {
		if j.suspected {
			d.Suspected++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.risks)) {
		if r := s.risks[name]; r.Crashes > 0 {
			d.Queues = append(d.Queues, QueueDump{Name: name, CrashShare: r.Share(), HostsDown: r.Down})
		}
	}
	if s.learning != nil {
		d.RunTimes = s.learning.model.Explain()
		d.RunTimesEvicted = s.learning.model.Totals().Evicted
	}
	for _, g := range s.groups {
		if g.ready && g.waiting > 0 {
			d.Waiting[g.waitReason.String()]++
		}
	}
	return d
}
