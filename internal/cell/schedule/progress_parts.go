package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell"

// progressParts tells which parts of a divided progress have to be stored.
type progressParts struct {
	// changed are the parts with changes since they were last returned, stored those that
	// have a record.
	changed, stored map[int]bool
}

// restoreProgressParts returns the parts of a progress that an earlier owner has divided.
func restoreProgressParts(p cell.Progress) *progressParts {
	parts := &progressParts{changed: make(map[int]bool), stored: make(map[int]bool)}
	for _, number := range p.StoredParts.Members() {
		parts.stored[number] = true
	}
	return parts
}

func (p *progressParts) storedSet() (set cell.BitSet) {
	for number := range p.stored {
		set.Set(number)
	}
	return set
}

// part returns the number of the part that holds the details of the task.
func (t *task) part() int { return (t.group.firstTask + t.id.Index) / cell.TasksPerProgressPart }

// detailsChanged records that the details of the task differ from the stored ones.
func (t *task) detailsChanged() {
	if p := t.group.job.parts; p != nil {
		p.changed[t.part()] = true
	}
}

// HasDividedProgress reports whether the progress of a submission is divided.
func (s *Scheduler) HasDividedProgress(id string) bool {
	j := s.jobs[id]
	return j != nil && j.parts != nil && !j.state.Final()
}

// DivideProgress divides the progress of a submission, since it does not fit into one
// record. It stays divided until the submission finishes.
func (s *Scheduler) DivideProgress(id string) {
	j := s.jobs[id]
	if j == nil || j.parts != nil {
		return
	}
	j.parts = restoreProgressParts(cell.Progress{})
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if t.hasDetails() {
				t.detailsChanged()
			}
		}
	}
}

// TakeDividedProgress returns a divided progress that has to be stored, and its parts that
// have changed since the last call. A part without groups has to be deleted.
func (s *Scheduler) TakeDividedProgress(id string) (p cell.Progress, changed map[int]cell.ProgressPart) {
	j := s.jobs[id]
	p = cell.Progress{State: j.state, Divided: true, DoneTasks: j.doneTasks.Clone()}
	changed = make(map[int]cell.ProgressPart)
	for number := range j.parts.changed {
		part := j.progressPart(number)
		switch {
		case len(part.Groups) > 0:
			j.parts.stored[number] = true
		case !j.parts.stored[number]:
			continue
		default:
			delete(j.parts.stored, number)
		}
		changed[number] = part
	}
	clear(j.parts.changed)
	p.StoredParts = j.parts.storedSet()
	return p, changed
}

// progressPart returns a part of the progress of the job.
func (j *job) progressPart(number int) (p cell.ProgressPart) {
	first, end := number*cell.TasksPerProgressPart, (number+1)*cell.TasksPerProgressPart
	at, _ := j.groupIndex(first + 1)
	for _, g := range j.groups[max(at-1, 0):] {
		if g.firstTask >= end {
			break
		}
		var gp cell.GroupProgress
		any := false
		for i := max(first-g.firstTask, 0); i < min(end-g.firstTask, len(g.tasks)); i++ {
			if t := g.tasks[i]; t.hasDetails() {
				t.addDetails(&gp)
				any = true
			}
		}
		if any {
			setGroup(&p.Groups, g.id, gp)
		}
	}
	return p
}
