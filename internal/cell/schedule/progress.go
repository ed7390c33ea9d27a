package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell"

// maxListedGroups is the number of groups of a submission up to which each group has an
// entry of its own in the progress. An entry takes about 45 bytes.
const maxListedGroups = 1000

// Progress returns the progress of a submission that has to be stored as one record; ok is
// false if the submission is unknown.
func (s *Scheduler) Progress(id string) (p cell.Progress, ok bool) {
	j := s.jobs[id]
	if j == nil {
		return p, false
	}
	p.State = j.state
	if j.state.Final() {
		if j.parts != nil {
			p.StoredParts = j.parts.storedSet() // they are deleted with the submission
		}
		return p, true
	}
	if len(j.groups) == 0 && j.stored.HasBegun() {
		p = j.stored // its groups have not been created yet
		p.State = j.state
		return p, true
	}
	for _, g := range j.groups {
		if gp, any := g.progress(); any && g.left > 0 {
			setGroup(&p.Groups, g.id, gp)
		}
	}
	if j.sub.OccurrenceCount()*j.steps > maxListedGroups {
		p.DoneGroups = j.doneGroups.Clone()
		return p, true
	}
	for _, number := range j.doneGroups.Members() {
		id := cell.GroupID{Submission: j.sub.ID, Occurrence: number / j.steps, Step: number % j.steps}
		var done cell.BitSet
		for i := range j.sub.Steps[id.Step].Count {
			done.Set(i)
		}
		setGroup(&p.Groups, id, cell.GroupProgress{Done: done})
	}
	return p, true
}

func setGroup(groups *map[string]cell.GroupProgress, id cell.GroupID, p cell.GroupProgress) {
	if *groups == nil {
		*groups = make(map[string]cell.GroupProgress)
	}
	(*groups)[id.String()] = p
}

func (g *group) progress() (p cell.GroupProgress, any bool) {
	for i, t := range g.tasks {
		switch {
		case t.done:
			p.Done.Set(i)
			any = true
		case t.hasDetails():
			t.addDetails(&p)
			any = true
		}
		if c := t.resumesFrom(); c != "" && !t.done {
			setDetail(&p.Checkpoints, i, c) // that of a gang is listed for each member
			any = true
		}
	}
	return p, any
}

// hasDetails reports whether more is to be stored of the task than whether it is done.
func (t *task) hasDetails() bool {
	return !t.done && (len(t.failures) > 0 || !t.evidence.Empty() || t.trial.Run != 0 || t.checkpoint != "")
}

// addDetails adds the details of the task to the progress of its group.
func (t *task) addDetails(p *cell.GroupProgress) {
	i := t.id.Index
	if len(t.failures) > 0 {
		setDetail(&p.Failures, i, t.failures)
	}
	if len(t.evidence.Confirmed) > 0 {
		setDetail(&p.Crashes, i, t.evidence.Confirmed)
	}
	if len(t.evidence.Unconfirmed) > 0 {
		setDetail(&p.UnconfirmedCrashes, i, t.evidence.Stored())
	}
	if t.trial.Run != 0 {
		setDetail(&p.Trials, i, t.trial.Run)
		setDetail(&p.TrialHosts, i, t.trial.Hosts)
	}
	if t.checkpoint != "" {
		setDetail(&p.Checkpoints, i, t.checkpoint)
	}
}

func setDetail[V any](m *map[int]V, i int, v V) {
	if *m == nil {
		*m = make(map[int]V)
	}
	(*m)[i] = v
}
