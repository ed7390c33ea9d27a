package schedule

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
)

// hostsForTrial returns hosts that will have room for n tasks of a group under trial, at
// most some of them, or nil if there are none. Hosts that are empty soon come first. For
// a suspect that has waited long they need not be empty. With await, hosts are chosen
// also if they are empty only later.
func (s *Scheduler) hostsForTrial(g *group, n, most int, await bool) []trial.Option[*host] {
	var options []*host
	for _, h := range s.approvedHosts(g) {
		if h.quarantinedFor == nil && s.suitable(g, h) {
			options = append(options, h)
		}
	}
	if chosen := s.pickTrialHosts(g, options, n, most, s.now+soonEmpty+g.adviceDuration()); chosen != nil {
		return chosen
	}
	share := s.mayShareHosts(g)
	if !share && !await {
		return nil
	}
	var times []time.Duration
	for _, h := range options {
		for _, e := range s.expectedEnds(h) {
			if !share || e.at <= s.now+maxTrialDrain {
				times = append(times, e.at)
			}
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, true, func(at time.Duration, _ bool) int {
		if s.pickTrialHosts(g, options, n, most, at) == nil {
			return -1
		}
		return 0
	})
	if i == len(times) {
		return nil
	}
	return s.pickTrialHosts(g, options, n, most, times[i])
}

// pickTrialHosts returns hosts that have room for n tasks at a time, at most some of
// them, or nil if they have not. If the step prefers one rack, it chooses one if it can.
func (s *Scheduler) pickTrialHosts(g *group, options []*host, n, most int, at time.Duration) []trial.Option[*host] {
	var withRoom []trial.Option[*host]
	for _, h := range options {
		if room := s.trialRoom(g, h, at); room > 0 {
			_, ticket := g.ticketFor(h, s.now)
			withRoom = append(withRoom, trial.Option[*host]{Host: h, Rack: h.rack, At: at, Room: room, Runs: len(h.runs), GivenBack: g.givenBack[h], Ticket: ticket})
		}
	}
	var preferred []string
	if g.step.RackLocal {
		preferred = append([]string{g.step.DataRack}, racks(options)...)
	}
	return trial.Pick(withRoom, n, most, g.step.Gang, preferred)
}

// emptyBy reports whether all runs on a host are expected to have ended by a time.
func (s *Scheduler) emptyBy(h *host, at time.Duration) bool {
	ends := s.expectedEnds(h)
	return len(ends) == len(h.runs) && (len(ends) == 0 || ends[len(ends)-1].at <= at)
}

// trialRoom returns how many tasks of a group fit on a host at a time, if nothing else
// starts there before, and if the trial may begin there then.
func (s *Scheduler) trialRoom(g *group, h *host, at time.Duration) int {
	free, ends := h.free(), s.expectedEnds(h)
	left := len(h.runs)
	for _, e := range ends {
		if e.at <= at {
			free = free.Add(e.size)
			left--
		}
	}
	if left > 0 && !s.freeForTrial(h, g) && !s.mayShareHosts(g) {
		return 0
	}
	n := tasksIn(g.size, free)
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost-g.runsOn(h))
	}
	return max(n, 0)
}
