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
	// Trials holds the run of each suspected task that was started alone on a host and
	// has not ended, by index. If nothing becomes known of it after a takeover, a crash is
	// counted, unless its hosts are known not to have restarted.
	Trials map[int]int64 `json:"trials,omitempty"`
	// TrialHosts holds the hosts of these runs, by index.
	TrialHosts map[int][]TrialHost `json:"trial_hosts,omitempty"`
	// Checkpoints holds the checkpoints from which tasks resume, by index.
	Checkpoints map[int]string `json:"checkpoints,omitempty"`
}

// SetDone marks a task as done.
func (g *GroupProgress) SetDone(index int) {
	for len(g.Done) <= index/8 {
		g.Done = append(g.Done, 0)
	}
	g.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether a task is done.
func (g *GroupProgress) IsDone(index int) bool {
	return index/8 < len(g.Done) && g.Done[index/8]&(1<<(index%8)) != 0
}
