package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// State is the replicated state. Its JSON form is the snapshot: maps have
// sorted keys there, so equal states have equal snapshots. It is not safe for
// concurrent use.
type State struct {
	// NextOffset is the offset of the next record to apply.
	NextOffset uint64             `json:"next"`
	Senders    map[string]*sender `json:"senders"`
	Config     configuration      `json:"config"`
	// Book holds the members and the claims, and decides which records about
	// them take effect. Details has what Book does not need, by member.
	Book    *ownership.Book          `json:"book"`
	Details map[string]memberDetails `json:"details"`
	Joins   uint64                   `json:"joins"`
	Limits  map[string]*limit        `json:"limits"`
	// Hosts are the workers of each shard by id.
	Hosts     map[string]map[string]HostEntry `json:"hosts"`
	Jobs      map[work.JobID]*Job             `json:"jobs"`
	Ended     []work.JobID                    `json:"ended"`
	Snapshots snapshotProgress                `json:"snapshots"`

	opts Options
	// open holds the unfinished jobs by shard. It follows from Jobs.
	open map[string]map[work.JobID]struct{}
	// openJobs is the number of unfinished jobs.
	openJobs int
	// jobTexts is the length of the texts of all jobs, in bytes.
	jobTexts int
}

// New returns the state before the first record of a log.
func New(opts Options) *State {
	s := &State{NextOffset: FirstOffset, opts: opts}
	s.init()
	return s
}

// init creates what a decoded state lacks.
func (s *State) init() {
	if s.Senders == nil {
		s.Senders = map[string]*sender{}
	}
	if s.Details == nil {
		s.Details = map[string]memberDetails{}
	}
	if s.Limits == nil {
		s.Limits = map[string]*limit{}
	}
	if s.Book == nil {
		s.Book = ownership.NewBook()
	}
	if s.Hosts == nil {
		s.Hosts = map[string]map[string]HostEntry{}
	}
	if s.Jobs == nil {
		s.Jobs = map[work.JobID]*Job{}
	}
	s.Config.init()
	s.open, s.openJobs, s.jobTexts = map[string]map[work.JobID]struct{}{}, 0, 0
	for _, job := range s.Jobs {
		s.jobTexts += textOf(&job.Job)
		if !job.Finished() {
			s.openJobs++
			s.index(job)
		}
	}
}
