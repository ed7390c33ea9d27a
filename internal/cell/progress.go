package cell

// State is the state of a submission as callers see it.
type State uint8

// The states of a submission.
const (
	Queued State = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the state is final.
func (s State) Final() bool { return s >= Completed }

// String returns the name of s.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Progress is the stored progress of a submission, from which a later owner
// continues: which tasks are done, how often tasks failed, and the checkpoints
// from which they resume.
type Progress struct {
	State State `json:"state"`
	// Groups has an entry for each group with progress, under its GroupID.
	Groups map[string]GroupProgress `json:"groups,omitempty"`
	// DoneGroups is a bit set of groups that are done and have no entry in Groups, by
	// their number: the occurrence times the number of steps, plus the step. It keeps the
	// progress of a submission with many groups small.
	DoneGroups []byte `json:"done_groups,omitempty"`
}

// SetGroupDone marks a group as done.
func (p *Progress) SetGroupDone(number int) { p.DoneGroups = setBit(p.DoneGroups, number) }

// IsGroupDone reports whether a group is marked as done.
func (p *Progress) IsGroupDone(number int) bool { return hasBit(p.DoneGroups, number) }

// WithoutCheckpoints returns the progress without checkpoints: tasks that are lost start
// from the beginning.
func (p Progress) WithoutCheckpoints() Progress {
	return p.reduced(func(g *GroupProgress) { g.Checkpoints = nil })
}

// WithoutFailures returns the progress without failed runs, crashes and trials: a later
// owner counts them from zero.
func (p Progress) WithoutFailures() Progress {
	return p.reduced(func(g *GroupProgress) {
		g.Failures, g.Crashes, g.UnconfirmedCrashes, g.Trials, g.TrialHosts = nil, nil, nil, nil, nil
	})
}

func (p Progress) reduced(reduce func(g *GroupProgress)) Progress {
	groups := make(map[string]GroupProgress, len(p.Groups))
	for id, g := range p.Groups {
		reduce(&g)
		groups[id] = g
	}
	p.Groups = groups
	return p
}

// GroupProgress is the progress of one step in one occurrence.
type GroupProgress struct {
	// Done is a bit set of the indexes of the tasks that are done.
	Done []byte `json:"done,omitempty"`
	// Failures lists the failed runs of each task by index, so that a run that a
	// host lists again is counted once. The failures of a gang are stored under
	// its first task.
	Failures map[int][]int64 `json:"failures,omitempty"`
	// Crashes lists the crashes of hosts that each task may have caused, by index. Those
	// of a gang are stored under its first task.
	Crashes map[int][]Crash `json:"crashes,omitempty"`
	// UnconfirmedCrashes lists the possible crashes of hosts likewise.
	UnconfirmedCrashes map[int][]UnconfirmedCrash `json:"unconfirmed_crashes,omitempty"`
	// Trials holds the run of each suspected task that was started alone on a host and
	// has not ended, by index. If nothing becomes known of it after a takeover, a crash is
	// counted, unless its hosts are known not to have restarted.
	Trials map[int]int64 `json:"trials,omitempty"`
	// TrialHosts holds the hosts of these runs, by index.
	TrialHosts map[int][]HostInstance `json:"trial_hosts,omitempty"`
	// Checkpoints holds the checkpoints from which tasks resume, by index.
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

// SetDone marks a task as done.
func (g *GroupProgress) SetDone(index int) { g.Done = setBit(g.Done, index) }

// IsDone reports whether a task is done.
func (g *GroupProgress) IsDone(index int) bool { return hasBit(g.Done, index) }

func setBit(bits []byte, i int) []byte {
	if n := i/8 + 1; len(bits) < n {
		bits = append(bits, make([]byte, n-len(bits))...)
	}
	bits[i/8] |= 1 << (i % 8)
	return bits
}

func hasBit(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }
