package schedule

// stopIncompleteGangs orders the gangs that an earlier owner has started in part to stop, before
// all of its runs are known: their members wait for the others, and only for a time. Such a gang
// has more members without a known run than could be present on the hosts that have not
// reported. Other gangs with missing members may be complete.
func (s *Scheduler) stopIncompleteGangs() {
	if s.reconciled {
		return
	}
	silent, _ := s.silentCapacity()
	for _, g := range s.liveGroups() {
		missing := g.left - g.present
		if !g.step.Gang || !g.job.unreconciled || g.present == 0 || missing <= 0 || g.stopping() {
			continue
		}
		if tasksIn(g.size, silent) < missing {
			s.stopIncompleteGang(g, "gang of an earlier owner is incomplete")
		}
	}
}
