package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell"

// judge gives a job up if the crashes under one of its tasks show that it crashes its
// hosts, or suspects it. alone is set if the task was alone on the last of them.
func (s *Scheduler) judge(t *task, alone bool) {
	j := t.group.job
	if t.evidence.Proves(alone) {
		s.finalize(j, cell.Failed, "hosts crashed under one of its tasks")
		return
	}
	if !j.suspected && t.evidence.Suspects() {
		j.suspected = true
		s.logMessage(j.sub.ID, "", "The submission is suspected of crashing hosts.")
	}
}

// blame returns how much the crashes under the job's tasks speak against it: as much as
// those under the task that is blamed most, since one crash may count for several tasks.
func (j *job) blame() (most float64) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			most = max(most, t.evidence.Blame())
		}
	}
	return most
}
