package schedule

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/gangroom"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Options configure a Scheduler.
type Options struct {
	// RunNumberBase is the number below the first run number of this owner. It is
	// chosen so that all run numbers of this owner are higher than those of earlier
	// owners, and so distinct from them.
	RunNumberBase int64
	// MaxWeight bounds the memory of the groups that are created: one for each task, and
	// groupWeight for each group; zero for no bound. Other work waits. Work that an earlier
	// owner has begun is created in any case.
	MaxWeight int
	// GangTimeout is how long a gang member waits for the other members.
	GangTimeout time.Duration
	Features    Features
}

// Scheduler holds the state of the cell as far as its owner knows it.
type Scheduler struct {
	options   Options
	now       time.Duration
	wallClock time.Duration
	desired   *cell.Desired
	hosts     map[string]*host
	// evacuated are the evacuated zones, evacuatedHosts is the number of their hosts.
	evacuated      *cell.EvacuatedZones
	evacuatedHosts int
	// startsHeld is set while no starts are planned; see HoldStarts.
	startsHeld bool
	// gangsHeld is set while no gang is started; see HoldGangs.
	gangsHeld bool
	// sortedHosts holds the hosts sorted by ID.
	sortedHosts []*host
	// hostsWithRoom holds the usable hosts that have enough free capacity for
	// the smallest waiting task.
	hostsWithRoom []*host
	jobs          map[string]*job
	// timedJobs holds the jobs whose occurrences have due times.
	timedJobs []*job
	teams     map[string]*team
	// groups holds the groups of the jobs that have not finished or still have
	// runs, in order of arrival.
	groups []*group
	// newGroups are those that have been created and are not among groups yet; see
	// mergeNewGroups.
	newGroups []*group
	// deferred holds the jobs without occurrences whose groups have not been created.
	deferred []*job
	// reserveTaken is set in a decision once a job waits for the reserve of Options.MaxWeight.
	reserveTaken bool
	// weight is that of all groups; see Options.MaxWeight.
	weight int
	// cleanupNeeded is set if groups may have to be removed; see removeDoneGroups.
	cleanupNeeded bool
	reconciled    bool
	// trialCapacity is how much of the cell trials may take.
	trialCapacity trial.Capacity
	// mostlyIdle is set if less than half of the cores are in use at the start of a pass, of
	// all hosts or of those outside of evacuated zones.
	mostlyIdle bool
	// quarantinedAt is when hosts were last kept free for work under trial, and trials how
	// often they were.
	quarantinedAt time.Duration
	trials        int
	// lastTrialTurn is how many of the groups under trial have had their turn; see trial.Turn.
	lastTrialTurn int
	// unconfirmed holds the tasks with unconfirmed crashes by the ID of the host. Tasks that
	// have none any more may be among them.
	unconfirmed map[string][]*task
	// risks holds the risk of each queue by name.
	risks crash.Risks
	// approvals holds the share of approved hosts of the queues of gangs by name.
	approvals map[string]*gangroom.Approval
	gangRoom  GangRoom
	// pinnedGangs are the gangs with pinned room, in the order in which it was pinned.
	pinnedGangs []*group
	// gangMembers holds the size of the members of recent gangs by service.
	gangMembers map[string]*gangroom.Members
	// scoredHosts is a buffer of leastDisplacing.
	scoredHosts []scoredHost
	// nextPeriodicCheck is when all groups and hosts are checked next.
	nextPeriodicCheck time.Duration
	lastArrival       int
	// newestArrival is when the newest submission was received.
	newestArrival time.Duration
	// decision numbers the decisions.
	decision int64
	plan     *Plan
	work     workBudget
	sharing  sharing
	// queueBuffer holds the entries of the last queue.
	queueBuffer []queueEntry
	// undecidedBuffer holds the last result of undecidedHosts.
	undecidedBuffer []*host
	// waitingBuffer holds the work of the last load summary.
	waitingBuffer []waitingWork
	// adviceRoom is how many advice calls may be planned; nil for no bound.
	adviceRoom *cell.AdviceRoom
	// startRoom is how many starts may be planned until SetStartRoom is called again.
	startRoom int
	changed   map[string]bool
	// logMessages holds the messages that TakeLogMessages returns next.
	logMessages []LogMessage
	// learning is nil unless Features.LearnRunTimes is set.
	learning *learning
	history  runHistory
	// usageReported is set once a host has reported the usage of a run. From
	// then on, a report without usage means that the run makes no progress.
	usageReported bool
}

// LogMessage is an event or decision that the caller writes to the process log.
type LogMessage struct {
	Submission string
	Text       string
	Host       string
	// Repeated has the details if a task may have run twice; nil otherwise.
	Repeated *RepeatedRun
}

// New returns a scheduler without hosts and submissions.
func New(o Options) *Scheduler {
	return &Scheduler{
		options: o, desired: &cell.Desired{}, hosts: make(map[string]*host), jobs: make(map[string]*job),
		teams: make(map[string]*team), changed: make(map[string]bool), startRoom: math.MaxInt, risks: make(crash.Risks), unconfirmed: make(map[string][]*task), plan: &Plan{},
		learning: newLearning(o.Features), gangMembers: make(map[string]*gangroom.Members), history: newRunHistory(),
	}
}

// SetDesired replaces the desired state.
func (s *Scheduler) SetDesired(d *cell.Desired) {
	s.desired = d
	for _, t := range s.teams {
		s.applyTeamLimits(t)
	}
	for _, j := range s.jobs {
		if q, ok := d.QueueOf(&j.sub.Queue); ok {
			j.queue = q
			j.criticalPaths = nil
		}
	}
}

func (s *Scheduler) applyTeamLimits(t *team) {
	if spec, ok := s.desired.Teams[t.name]; ok {
		t.rate, t.limit = spec.Weight, spec.Limit
	}
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.applyTeamLimits(t)
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

// task returns a task; nil if it is unknown. Its group is created if it is not there, since
// the caller knows of a run of it.
func (s *Scheduler) task(id cell.TaskID) *task {
	g := s.group(id.Group())
	if j := s.jobs[id.Submission]; g == nil && j != nil && j.hasStep(id.Occurrence, id.Step) {
		s.createOccurrence(j, id.Occurrence)
		g = s.group(id.Group())
	}
	if g == nil || id.Index < 0 || id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

// SetHosts adds hosts that may have runs and replaces the specifications of
// known ones.
func (s *Scheduler) SetHosts(list []cell.Host) {
	for _, spec := range list {
		h := s.hosts[spec.ID]
		if h == nil {
			h = &host{runs: make(map[runKey]*taskRun), health: health{slowness: 1}, earlierRunsUnknown: !s.reconciled}
			if s.learning != nil {
				s.learning.restoreSpeed(h, spec.ID)
			}
			s.hosts[spec.ID] = h
			s.sortedHosts = append(s.sortedHosts, h)
		}
		h.spec, h.rack = spec, spec.Rack()
	}
	slices.SortFunc(s.sortedHosts, func(a, b *host) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	s.markEvacuatedHosts()
}

// SetListedHosts replaces the platform's host list. Hosts that are not listed get
// no new work; their runs count until they are known to be gone.
func (s *Scheduler) SetListedHosts(list []cell.Host) {
	for _, h := range s.hosts {
		h.listed = false
	}
	for _, spec := range list {
		if h := s.hosts[spec.ID]; h != nil {
			h.spec, h.rack, h.listed = spec, spec.Rack(), true
		}
	}
	s.markEvacuatedHosts()
}

// RemoveHost removes a host that is no longer listed and certainly runs nothing. It
// reports false if the host is listed, or a run may be present on it.
func (s *Scheduler) RemoveHost(id string) bool {
	h := s.hosts[id]
	if h == nil {
		return true
	}
	if h.listed || len(h.runs) > 0 {
		return false
	}
	s.settleGoneHost(id)
	delete(s.hosts, id)
	s.sortedHosts = slices.DeleteFunc(s.sortedHosts, func(o *host) bool { return o == h })
	s.markEvacuatedHosts()
	return true
}

// MarkReconciled records that every run of earlier owners is known or has ended.
func (s *Scheduler) MarkReconciled(now time.Duration) {
	s.now, s.reconciled = now, true
	for _, j := range s.jobs {
		j.unreconciled = false
	}
	for _, h := range s.hosts {
		h.settleEarlierRuns(GoneLeaseExpired, now)
	}
	for _, t := range s.teams {
		t.unknownUsage = resource.Vector{}
	}
	s.settleUnknownHosts()
	s.countUnknownTrials()
	for _, g := range s.liveGroups() {
		if g.step.Gang && g.present > 0 && g.present < g.left {
			s.stopGroup(g, "gang of an earlier owner is incomplete")
		}
	}
}

// SetStartRoom sets how many starts the next decision may plan, so that urgent work does not
// wait behind the orders of others. The groups that come first in the queue use it. A gang
// starts whole if there is any room.
func (s *Scheduler) SetStartRoom(n int) { s.startRoom = n }

// HoldGangs sets whether no gang is started, since the orders to its last members might not be
// sent any more.
func (s *Scheduler) HoldGangs(held bool) { s.gangsHeld = held }

func (s *Scheduler) hasStartRoom() bool { return s.startRoom > 0 && !s.startsHeld }

// Changed returns the submissions whose progress has changed since the last call.
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

// TakeLogMessages returns the messages since the last call and removes them.
func (s *Scheduler) TakeLogMessages() []LogMessage {
	n := s.logMessages
	s.logMessages = nil
	return n
}

func (s *Scheduler) logMessage(id, host, text string) {
	s.logMessages = append(s.logMessages, LogMessage{Submission: id, Host: host, Text: text})
}
