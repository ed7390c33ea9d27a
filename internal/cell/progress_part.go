package cell

// TasksPerProgressPart is the number of tasks whose details one part of a divided progress
// holds: part N holds those of the tasks with the numbers from N times that on. It is so
// small that the largest details fit into one record.
const TasksPerProgressPart = 16

// MaxProgressParts is the number of parts of the largest submission.
const MaxProgressParts = (MaxTasks + TasksPerProgressPart - 1) / TasksPerProgressPart

// ProgressPart holds the details of some tasks of a submission: what is stored about those
// that are not done. A change of one task stores its part and not the others.
type ProgressPart struct {
	// Groups has an entry for each group with details, under its GroupID. A group may have
	// tasks in several parts.
	Groups map[string]GroupProgress `json:"groups"`
}

// WithoutCheckpoints returns the part without checkpoints: its tasks start from the
// beginning if their runs are lost.
func (p ProgressPart) WithoutCheckpoints() ProgressPart {
	return p.reduced(func(g *GroupProgress) { g.Checkpoints = nil })
}

// WithoutMembers returns the part without the gang members of the crashes. The crashes
// count all the same.
func (p ProgressPart) WithoutMembers() ProgressPart {
	return p.reduced(func(g *GroupProgress) {
		crashes := make(map[int][]Crash, len(g.Crashes))
		for i, list := range g.Crashes {
			for _, c := range list {
				c.Members = nil
				crashes[i] = append(crashes[i], c)
			}
		}
		unconfirmed := make(map[int][]UnconfirmedCrash, len(g.UnconfirmedCrashes))
		for i, list := range g.UnconfirmedCrashes {
			for _, c := range list {
				c.Members = nil
				unconfirmed[i] = append(unconfirmed[i], c)
			}
		}
		g.Crashes, g.UnconfirmedCrashes = crashes, unconfirmed
	})
}

func (p ProgressPart) reduced(reduce func(g *GroupProgress)) ProgressPart {
	groups := make(map[string]GroupProgress, len(p.Groups))
	for id, g := range p.Groups {
		reduce(&g)
		groups[id] = g
	}
	return ProgressPart{Groups: groups}
}
