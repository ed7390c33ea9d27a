package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Options set the bounds of the platform that decisions rest on.
type Options struct {
	// FirstRun is added to the numbers of runs, so that they differ from those
	// of earlier owners and are higher.
	FirstRun int64
	// GangTimeout is how long a member waits for the others.
	GangTimeout time.Duration
}

// Scheduler holds the state of the cell as the owner believes it to be.
type Scheduler struct {
	o       Options
	now     time.Duration
	wall    time.Duration
	desired *cell.Desired
	hosts   map[string]*host
	// order is the hosts in a fixed order.
	order []*host
	// roomy are the usable hosts that have room for the smallest waiting task.
	roomy []*host
	jobs  map[string]*job
	// timed are the jobs with occurrences that become due.
	timed []*job
	teams map[string]*team
	// groups are those with tasks that are not done, by order of arrival.
	groups []*group
	// stale is set if groups may have to be dropped; see sweep.
	stale   bool
	settled bool
	// surveyAt is when all groups are looked at next.
	surveyAt time.Duration
	arrival  int
	plan     *Plan
	changed  map[string]bool
	// notes are decisions for the log.
	notes []Note
	// usageSeen is set once a host has reported the use of a run, so that a
	// report of none tells that the run stands still.
	usageSeen bool
}

// Note is a decision that the log explains.
type Note struct {
	Submission string
	Text       string
	Host       string
}

// New returns a scheduler for an owner.
func New(o Options) *Scheduler {
	return &Scheduler{
		o: o, desired: &cell.Desired{}, hosts: make(map[string]*host), jobs: make(map[string]*job),
		teams: make(map[string]*team), changed: make(map[string]bool), plan: &Plan{},
	}
}

// SetDesired replaces the objects that operators control.
func (s *Scheduler) SetDesired(d *cell.Desired) {
	s.desired = d
	for _, t := range s.teams {
		s.limitTeam(t)
	}
	for _, j := range s.jobs {
		if q, ok := d.Queue(j.sub.Queue.Name); ok {
			j.queue = q
			j.chains = nil
		}
	}
}

func (s *Scheduler) limitTeam(t *team) {
	if spec, ok := s.desired.Teams[t.name]; ok {
		t.weight, t.limit = spec.Weight, spec.Cap
	}
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, creditAt: s.now}
		s.limitTeam(t)
		t.credit = t.weight * rateWindow.Seconds()
		s.teams[name] = t
	}
	return t
}

func (s *Scheduler) group(id cell.GroupID) *group {
	if j := s.jobs[id.Submission]; j != nil {
		return j.group(id)
	}
	return nil
}

func (s *Scheduler) task(id cell.TaskID) *task {
	g := s.group(id.Group())
	if g == nil || id.Index < 0 || id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

// SetHosts adds hosts that may have runs and replaces what is known of them.
func (s *Scheduler) SetHosts(list []cell.Host) {
	for _, spec := range list {
		h := s.hosts[spec.ID]
		if h == nil {
			h = &host{attempts: make(map[runKey]*attempt), health: health{slowness: 1}}
			s.hosts[spec.ID] = h
			s.order = append(s.order, h)
		}
		h.spec, h.rack = spec, spec.Rack()
	}
	slices.SortFunc(s.order, func(a, b *host) int { return strings.Compare(a.spec.ID, b.spec.ID) })
}

// SetListed replaces the list of the platform. Hosts that are not listed get no
// new work; what runs there counts until it is known to be gone.
func (s *Scheduler) SetListed(list []cell.Host) {
	for _, h := range s.hosts {
		h.listed = false
	}
	for _, spec := range list {
		if h := s.hosts[spec.ID]; h != nil {
			h.spec, h.rack, h.listed = spec, spec.Rack(), true
		}
	}
}

// Forget drops a host that is no longer listed and certainly runs nothing.
func (s *Scheduler) Forget(id string) {
	h := s.hosts[id]
	if h == nil || h.listed || len(h.attempts) > 0 {
		return
	}
	delete(s.hosts, id)
	s.order = slices.DeleteFunc(s.order, func(o *host) bool { return o == h })
}

// Settle tells that every run of earlier owners is known or over.
func (s *Scheduler) Settle(now time.Duration) {
	s.now, s.settled = now, true
	for _, j := range s.jobs {
		j.unsettled = false
	}
	for _, g := range s.groups {
		if g.step.Gang && g.present > 0 && g.present < g.left {
			s.stopGroup(g, "gang of an earlier owner is incomplete")
		}
	}
}

// Changed returns the submissions whose progress differs from what was taken last.
func (s *Scheduler) Changed() []string {
	if len(s.changed) == 0 {
		return nil
	}
	out := make([]string, 0, len(s.changed))
	for id := range s.changed {
		out = append(out, id)
	}
	clear(s.changed)
	slices.Sort(out)
	return out
}

// Notes returns the decisions since the last call.
func (s *Scheduler) Notes() []Note {
	n := s.notes
	s.notes = nil
	return n
}

func (s *Scheduler) note(id, host, text string) {
	s.notes = append(s.notes, Note{Submission: id, Host: host, Text: text})
}
