package cell

import "strconv"

// TaskID names one task of a submission.
type TaskID struct {
	Submission              string
	Occurrence, Step, Index int
}

// GroupID names the tasks of one step in one occurrence.
type GroupID struct {
	Submission       string
	Occurrence, Step int
}

// Group returns the group that the task belongs to.
func (t TaskID) Group() GroupID { return GroupID{t.Submission, t.Occurrence, t.Step} }

// String returns a form for logs.
func (t TaskID) String() string {
	return t.Group().String() + "." + strconv.Itoa(t.Index)
}

// String returns a form for logs.
func (g GroupID) String() string {
	return g.Submission + "." + strconv.Itoa(g.Occurrence) + "." + strconv.Itoa(g.Step)
}
