package cell

import (
	"maps"
	"slices"
)

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
// from which they resume. If it does not fit into one record, it is divided: Groups
// is empty then, and the details are stored in parts; see ProgressPart.
type Progress struct {
	State State `json:"state"`
	// Groups has an entry for each group with progress, under its GroupID.
	Groups map[string]GroupProgress `json:"groups,omitempty"`
	// DoneGroups is a bit set of groups that are done and have no entry in Groups, by
	// their number: the occurrence times the number of steps, plus the step. It keeps the
	// progress of a submission with many groups small.
	DoneGroups BitSet `json:"done_groups,omitempty"`
	// DoneTasks is the bit set of the done tasks of a divided progress, by their number;
	// see Submission.StepOffsets.
	DoneTasks BitSet `json:"done_tasks,omitempty"`
	// Divided is set if the details are stored in parts. StoredParts is the bit set of the
	// parts that have a record.
	Divided     bool   `json:"divided,omitempty"`
	StoredParts BitSet `json:"stored_parts,omitempty"`
}

// HasBegun reports whether the progress says that tasks may have started.
func (p Progress) HasBegun() bool {
	return p.State != Queued || p.Divided || len(p.Groups) > 0 || len(p.DoneGroups) > 0
}

// Join returns a divided progress with the details of its parts in Groups.
func (p Progress) Join(parts map[int]ProgressPart) Progress {
	if !p.Divided {
		return p
	}
	p.Groups = make(map[string]GroupProgress)
	p.StoredParts = nil
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		p.StoredParts.Set(number)
		for id, g := range parts[number].Groups {
			p.Groups[id] = p.Groups[id].join(g)
		}
	}
	return p
}

// GroupProgress is the progress of one step in one occurrence.
type GroupProgress struct {
	// Done is a bit set of the indexes of the tasks that are done.
	Done BitSet `json:"done,omitempty"`
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

// join returns the details of the tasks of g and of o, which are other tasks of the group.
func (g GroupProgress) join(o GroupProgress) GroupProgress {
	g.Failures = joinMaps(g.Failures, o.Failures)
	g.Crashes = joinMaps(g.Crashes, o.Crashes)
	g.UnconfirmedCrashes = joinMaps(g.UnconfirmedCrashes, o.UnconfirmedCrashes)
	g.Trials = joinMaps(g.Trials, o.Trials)
	g.TrialHosts = joinMaps(g.TrialHosts, o.TrialHosts)
	g.Checkpoints = joinMaps(g.Checkpoints, o.Checkpoints)
	return g
}

// joinMaps adds the entries of b to a, which may be nil, and returns it.
func joinMaps[V any](a, b map[int]V) map[int]V {
	if a == nil {
		return maps.Clone(b)
	}
	maps.Copy(a, b)
	return a
}
