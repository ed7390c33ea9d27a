package cell

import "strconv"

// TaskID identifies one task of a submission.
type TaskID struct {
	Submission              string
	Occurrence, Step, Index int
}

// GroupID identifies the group of tasks of one step in one occurrence.
type GroupID struct {
	Submission       string
	Occurrence, Step int
}

// Group returns the group that the task belongs to.
func (t TaskID) Group() GroupID { return GroupID{t.Submission, t.Occurrence, t.Step} }

// String returns the ID in the form "submission.occurrence.step.index", for logs.
func (t TaskID) String() string {
	return t.Group().String() + "." + strconv.Itoa(t.Index)
}

// String returns the ID in the form "submission.occurrence.step", for logs and
// as the key of Progress.Groups. The form is stored and must not change.
func (g GroupID) String() string {
	return g.Submission + "." + strconv.Itoa(g.Occurrence) + "." + strconv.Itoa(g.Step)
}
