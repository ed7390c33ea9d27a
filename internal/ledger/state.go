package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// State is the replicated state. A snapshot is its JSON form, in which map keys
// are sorted, so equal states have equal snapshots. State is not safe for
// concurrent use.
type State struct {
	// NextOffset is the offset of the next record to be applied.
	NextOffset uint64             `json:"next"`
	Senders    map[string]*sender `json:"senders"`
	Config     configuration      `json:"config"`
	// Ownership holds the members and the shard claims, and decides which records
	// about them take effect. MemberDetails holds the remaining data of each
	// member, by node name.
	Ownership     *ownership.StateMachine  `json:"book"`
	MemberDetails map[string]memberDetails `json:"details"`
	JoinCount     uint64                   `json:"joins"`
	Limits        map[string]*limit        `json:"limits"`
	// Hosts holds the host entries of each shard, by shard and host id.
	Hosts            map[string]map[string]HostEntry `json:"hosts"`
	Jobs             map[work.JobID]*Job             `json:"jobs"`
	FinishedJobs     []work.JobID                    `json:"ended"`
	SnapshotProgress snapshotProgress                `json:"snapshots"`

	opts Options
	// openByShard is an index of the unfinished jobs by shard, derived from Jobs.
	openByShard  map[string]map[work.JobID]struct{}
	openJobCount int
	// jobTextBytes is the total length of the text fields of all jobs in Jobs.
	jobTextBytes int
}

// New returns the state before the first record of the log.
func New(opts Options) *State {
	s := &State{NextOffset: FirstOffset, opts: opts}
	s.init()
	return s
}

// init creates missing maps and builds the indexes, which snapshots do not contain.
func (s *State) init() {
	if s.Senders == nil {
		s.Senders = map[string]*sender{}
	}
	if s.MemberDetails == nil {
		s.MemberDetails = map[string]memberDetails{}
	}
	if s.Limits == nil {
		s.Limits = map[string]*limit{}
	}
	if s.Ownership == nil {
		s.Ownership = ownership.NewStateMachine()
	}
	if s.Hosts == nil {
		s.Hosts = map[string]map[string]HostEntry{}
	}
	if s.Jobs == nil {
		s.Jobs = map[work.JobID]*Job{}
	}
	s.Config.init()
	s.openByShard, s.openJobCount, s.jobTextBytes = map[string]map[work.JobID]struct{}{}, 0, 0
	for _, job := range s.Jobs {
		s.jobTextBytes += textBytes(&job.Job)
		if !job.Finished() {
			s.openJobCount++
			s.addToIndex(job)
		}
	}
}
