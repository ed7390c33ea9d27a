package cell

import (
	"strconv"
	"strings"
)

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

// ParseGroupID returns the occurrence and the step of a group from the string of its ID.
func ParseGroupID(id string) (occurrence, step int, ok bool) {
	rest, last, _ := cutLast(id)
	_, middle, _ := cutLast(rest)
	occurrence, err1 := strconv.Atoi(middle)
	step, err2 := strconv.Atoi(last)
	return occurrence, step, err1 == nil && err2 == nil
}

// cutLast cuts a text at its last dot.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return "", text, false
	}
	return text[:i], text[i+1:], true
}

// String returns the ID in the form "submission.occurrence.step", for logs and
// as the key of Progress.Groups. The form is stored and must not change.
func (g GroupID) String() string {
	return g.Submission + "." + strconv.Itoa(g.Occurrence) + "." + strconv.Itoa(g.Step)
}
