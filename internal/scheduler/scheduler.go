package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/batch"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/estimate"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/hosthealth"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/hostindex"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/preempt"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/service"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Scheduler decides about the hosts and tasks of one shard.
type Scheduler struct {
	options  Options
	now      time.Duration
	contract Contract
	paused   StartsPaused

	hosts       map[string]*host
	hostList    []*host
	freeIndexes []int
	hostsByRack [][]*host
	domainIDs   map[string]int32
	index       *hostindex.Index
	capacity    resource.Vector
	// capacityCounts counts the hosts of each capacity; capacities lists the
	// capacities that occur, in an order that does not depend on the map.
	capacityCounts map[resource.Vector]int
	capacities     []resource.Vector
	recheckJobs    bool
	// unknownHosts counts the hosts whose running tasks are not known yet.
	unknownHosts int

	jobs    map[work.JobID]*job
	jobList []*job
	// spanningGangs lists the jobs that are one part of a gang with tasks in
	// several shards.
	spanningGangs []*job
	uncheckedJobs []*job
	closingJobs   []*job
	// maybeRunningJobs lists jobs with tasks that may run on a host that has
	// not reported its tasks yet.
	maybeRunningJobs   []*job
	agedJobs           agedHeap
	evacuating         []*host
	unassignedAttempts map[work.JobID][]*attempt
	teams              map[string]*team
	teamList           []*team
	// totalWeight is the sum of the weights of all teams.
	totalWeight int64
	limits      map[string]*limit
	// allotments keeps the units of the last AllotmentsChanged event, for
	// limits that are published later.
	allotments map[string]int64
	overLimits []*limit

	requirements map[requirementKey]*requirement
	// blockedGangs lists the requirements of gangs for which no hosts had
	// enough free capacity.
	blockedGangs []*requirement
	// freedHosts lists the hosts that gained free capacity and that a waiting
	// requirement may fit.
	freedHosts []*host
	// maxFreed is, in every resource, at least the free capacity of each freed
	// host. pruneFreedHosts recomputes it, addFreedHost raises it.
	maxFreed            resource.Vector
	waitingRequirements requirementIndex
	// roomVersion is incremented by each change after which a job group that
	// was skipped may fit.
	roomVersion uint64
	// unblocked lists the requirements that have a listed job group and are not
	// blocked.
	unblocked []*requirement
	// examinedGroups counts the job groups that this Decide has looked at.
	examinedGroups     int
	teamOrder          []teamRank
	matching           []*jobGroup
	matchingTeams      []*team
	reservations       []*reservation
	urgentReservations []*reservation
	holds              []*hold
	timers             timers
	health             *hosthealth.Tracker
	learner            *estimate.Learner
	pendingActions     []Action
	actions            []Action
	deciding           bool
	decisions          ring
	runningBuffer      []plan.Running
	preemptCursor      int
	request            plan.Request

	packFilter   plan.Filter
	packScore    plan.Score
	spreadFilter plan.Filter
	spreadScore  plan.Score
	reserver     plan.Reserve
	preempter    plan.Preempt
}

// New returns a Scheduler without hosts, jobs and contract.
func New(o Options) *Scheduler {
	o = o.withDefaults()
	s := &Scheduler{
		options: o,
		hosts:   map[string]*host{}, domainIDs: map[string]int32{}, index: &hostindex.Index{},
		capacityCounts: map[resource.Vector]int{},
		jobs:           map[work.JobID]*job{}, unassignedAttempts: map[work.JobID][]*attempt{},
		teams: map[string]*team{}, limits: map[string]*limit{}, requirements: map[requirementKey]*requirement{},
		health: hosthealth.New(), learner: estimate.New(), decisions: newRing(o.Decisions),
		packFilter: batch.Policy{}, packScore: batch.Policy{},
		spreadFilter: service.Policy{}, spreadScore: service.Policy{},
		reserver: batch.Policy{}, preempter: preempt.Policy{},
	}
	s.contract.Policy = s.contract.Policy.withDefaults()
	return s
}

// Apply processes one event. The scheduler's clock never goes back: a now below
// the highest value so far counts as that value.
func (s *Scheduler) Apply(now time.Duration, ev Event) {
	s.now = max(s.now, now)
	switch ev := ev.(type) {
	case HostChanged:
		s.hostChanged(ev.Host)
	case HostAdopted:
		s.hostAdopted(ev)
	case HostGone:
		s.hostGone(ev.Host)
	case JobAdded:
		s.jobAdded(ev)
	case JobCancelled:
		s.jobCancelled(ev.Job)
	case TasksMoved:
		s.tasksMoved(ev)
	case TaskStarted:
		s.taskStarted(ev.Attempt, ev.Host)
	case TaskStartUnknown:
		s.taskStartUnknown(ev.Attempt, ev.Host)
	case TaskRefused:
		s.taskRefused(ev)
	case TaskEnded:
		s.taskEnded(ev)
	case UsageReported:
		if h := s.hosts[ev.Host]; h != nil {
			h.measuredUsage = ev.Usage
		}
	case ContractChanged:
		s.contractChanged(ev.Contract)
	case AllotmentsChanged:
		s.allotmentsChanged(ev.Units)
	case StartsPaused:
		s.paused = ev
		s.restartSearches()
	case HoldRequested:
		s.holdRequested(ev)
	case HoldReleased:
		s.holdReleased(ev)
	case HoldConfirmed:
		s.holdConfirmed(ev)
	case GangRunning:
		s.gangRunning(ev)
	case GangStopped:
		s.gangStopped(ev)
	}
}

// Decide returns the actions that are due now: at most Options.MaxActions, plus
// the rest of one gang. A caller that gets that many calls it again at once.
func (s *Scheduler) Decide(now time.Duration) []Action {
	s.now = max(s.now, now)
	s.actions = make([]Action, 0, min(len(s.pendingActions)+16, s.options.MaxActions))
	half := max(s.options.MaxActions/2, 1)
	n := min(len(s.pendingActions), half)
	s.actions = append(s.actions, s.pendingActions[:n]...)
	s.pendingActions = s.pendingActions[:copy(s.pendingActions, s.pendingActions[n:])]
	s.deciding = true
	defer func() { s.deciding = false }()
	s.expireHolds()
	s.fireTimers()
	s.stopOverLimits()
	s.evacuate()
	s.checkFeasible()
	s.endClosedJobs(half)
	s.countMaybeRunning()
	s.startReserved()
	s.placeWaiting()
	s.preemptUrgent()
	s.reserveAged()
	s.endClosedJobs(s.options.MaxActions)
	return s.actions
}

// actionsFull reports whether this Decide has reached Options.MaxActions.
func (s *Scheduler) actionsFull() bool { return len(s.actions) >= s.options.MaxActions }

func (s *Scheduler) fireTimers() {
	for !s.actionsFull() {
		t, ok := s.timers.popDue(s.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerEscalate:
			s.escalate(t.attempt)
		case timerDelayEnd:
			s.endDelay(t.job, t.index)
		case timerRetry:
			s.retry(t.job, t.index, 0)
		case timerOffer:
			s.offer(t.job)
		case timerAge:
			s.markAged(t.job)
		case timerHeldExpiry:
			s.expireHeld(t.job, t.index)
		case timerGangSearch:
			t.requirement.searchTimer = false
			s.unblock(t.requirement)
		case timerQuarantine:
			s.checkQuarantine(t.host)
		case timerGangDeadline:
			s.checkGangDeadline(t.job)
		}
	}
}

// restartSearches makes every queue search all its job groups again.
func (s *Scheduler) restartSearches() {
	s.roomVersion++
}
