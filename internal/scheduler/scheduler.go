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

	hosts    map[string]*host
	hostList []*host
	free     []int
	racks    [][]*host
	domains  map[string]int32
	index    *hostindex.Index
	capacity resource.Vector
	// sizes counts the hosts of each capacity; sizeList keeps their order.
	sizes    map[resource.Vector]int
	sizeList []resource.Vector
	resized  bool
	// unknown counts the hosts whose tasks are not known.
	unknown int

	jobs    map[work.JobID]*job
	jobList []*job
	// spanning lists the parts of gangs that span shards.
	spanning []*job
	fresh    []*job
	closing  []*job
	// doubtful lists jobs with tasks that may run on a host not known yet.
	doubtful []*job
	aged     agedHeap
	moving   []*host
	foreign  map[work.JobID][]*attempt
	teams    map[string]*team
	teamList []*team
	// weights is the sum over all teams.
	weights int64
	limits  map[string]*limit
	// allotments keeps the last event, for limits that are published later.
	allotments map[string]int64
	overLimits []*limit

	shapes map[shapeKey]*shape
	// blocked lists the gangs without room.
	blocked []*shape
	// open lists hosts that gained room that a waiting size may fit.
	open []*host
	// openMax is at least the room of each open host in every resource, as of
	// the last call of pruneOpen and the hosts listed since.
	openMax resource.Vector
	wanted  shapeIndex
	// growth counts the changes after which a passed lane may fit.
	growth uint64
	// untried lists the listed shapes that are not blocked.
	untried []*shape
	// examined counts the lanes that this Decide has looked at.
	examined     int
	order        []teamRank
	few          []*lane
	touched      []*team
	reservations []*reservation
	urgent       []*reservation
	holdList     []*hold
	timers       timers
	health       *hosthealth.Tracker
	learner      *estimate.Learner
	pending      []Action
	out          []Action
	deciding     bool
	decisions    ring
	scratch      []plan.Running
	cursor       int
	request      plan.Request

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
		hosts:   map[string]*host{}, domains: map[string]int32{}, index: &hostindex.Index{},
		sizes: map[resource.Vector]int{},
		jobs:  map[work.JobID]*job{}, foreign: map[work.JobID][]*attempt{},
		teams: map[string]*team{}, limits: map[string]*limit{}, shapes: map[shapeKey]*shape{},
		health: hosthealth.New(), learner: estimate.New(), decisions: newRing(o.Decisions),
		packFilter: batch.Policy{}, packScore: batch.Policy{},
		spreadFilter: service.Policy{}, spreadScore: service.Policy{},
		reserver: batch.Policy{}, preempter: preempt.Policy{},
	}
	s.contract.Policy = s.contract.Policy.withDefaults()
	return s
}

// Apply takes in one event. Time never goes back: a lower now counts as the highest so far.
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
	case TaskUnknown:
		s.taskUnknown(ev.Attempt, ev.Host)
	case TaskRefused:
		s.taskRefused(ev)
	case TaskEnded:
		s.taskEnded(ev)
	case UsageReported:
		if h := s.hosts[ev.Host]; h != nil {
			h.usage = ev.Usage
		}
	case ContractChanged:
		s.contractChanged(ev.Contract)
	case AllotmentsChanged:
		s.allotmentsChanged(ev.Units)
	case StartsPaused:
		s.paused = ev
		s.stirAll()
	case HoldRequested:
		s.holdRequested(ev)
	case HoldReleased:
		s.holdReleased(ev)
	case HoldConfirmed:
		s.holdConfirmed(ev)
	case GangKept:
		s.gangKept(ev)
	case GangStopped:
		s.gangStopped(ev)
	}
}

// Decide returns what is to be done now, at most Options.MaxActions actions
// plus the rest of one gang. Call it again at once if it returns that many.
func (s *Scheduler) Decide(now time.Duration) []Action {
	s.now = max(s.now, now)
	s.out = make([]Action, 0, min(len(s.pending)+16, s.options.MaxActions))
	half := max(s.options.MaxActions/2, 1)
	n := min(len(s.pending), half)
	s.out = append(s.out, s.pending[:n]...)
	s.pending = s.pending[:copy(s.pending, s.pending[n:])]
	s.deciding = true
	defer func() { s.deciding = false }()
	s.expireHolds()
	s.fireTimers()
	s.shrink()
	s.evacuate()
	s.checkFeasible()
	s.endClosed(half)
	s.countDoubt()
	s.useReservations()
	s.place()
	s.preemptUrgent()
	s.reserveAged()
	s.endClosed(s.options.MaxActions)
	return s.out
}

// full reports whether Decide has returned its share of actions.
func (s *Scheduler) full() bool { return len(s.out) >= s.options.MaxActions }

func (s *Scheduler) fireTimers() {
	for !s.full() {
		t, ok := s.timers.due(s.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerStop:
			s.escalate(t.attempt)
		case timerReady:
			s.wakeTask(t.job, t.index)
		case timerRetry:
			s.retry(t.job, t.index, 0)
		case timerOffer:
			s.offer(t.job)
		case timerAge:
			s.age(t.job)
		case timerHeld:
			s.expireHeld(t.job, t.index)
		case timerShape:
			t.shape.timed = false
			s.unblock(t.shape)
		case timerHost:
			s.probe(t.host)
		case timerWhole:
			s.checkWhole(t.job)
		}
	}
}

// stirAll makes every queue look at all its lanes again.
func (s *Scheduler) stirAll() {
	s.growth++
}
