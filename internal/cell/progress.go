package cell

// State is the state of a submission that callers see.
type State uint8

// The states of a submission.
const (
	Queued State = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

// String returns the name of s.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Progress is what has to survive the owner about a submission: which tasks
// are done, which failed how often, and from where tasks resume.
type Progress struct {
	State State `json:"state"`
	// Groups has an entry for each group with something to tell.
	Groups map[string]GroupProgress `json:"groups,omitempty"`
}

// GroupProgress is the progress of one step in one occurrence.
type GroupProgress struct {
	// Done has a bit for each task that is done.
	Done []byte `json:"done,omitempty"`
	// Failures lists the runs of each task that ended as failed, so that an end
	// that a host lists again is counted once. A gang has them at its first task.
	Failures map[int][]int64 `json:"failures,omitempty"`
	// Checkpoints holds from where tasks resume.
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
