package schedule

import (
	"cmp"
	"slices"
	"time"
)

// trialHost is a host that a trial may use, and how many of its tasks fit there from a
// time on.
type trialHost struct {
	host *host
	at   time.Duration
	room int
}

// hostsForTrial returns hosts that will have room for n tasks of a group under trial, at
// most some of them, or nil if there are none. Hosts that are empty soon come first. For
// a suspect that has waited long they need not be empty. With await, hosts are chosen
// also if they are empty only later.
func (s *Scheduler) hostsForTrial(g *group, n, most int, await bool) []trialHost {
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
func (s *Scheduler) pickTrialHosts(g *group, options []*host, n, most int, at time.Duration) []trialHost {
	var withRoom []trialHost
	for _, h := range options {
		if room := s.trialRoom(g, h, at); room > 0 {
			withRoom = append(withRoom, trialHost{h, at, room})
		}
	}
	rankTrialHosts(g, withRoom, s.now)
	if g.step.RackLocal {
		for _, rack := range append([]string{g.step.DataRack}, racks(options)...) {
			inRack := slices.DeleteFunc(slices.Clone(withRoom), func(o trialHost) bool { return o.host.rack != rack })
			if chosen := firstWithRoom(inRack, n, most); chosen != nil {
				return chosen
			}
		}
	}
	return firstWithRoom(withRoom, n, most)
}

// rankTrialHosts sorts hosts for a trial: those that the group has given back come last,
// then a gang takes as few hosts as possible. Hosts with few runs, which a crash would
// end, come before others, and those with valid tickets.
func rankTrialHosts(g *group, hosts []trialHost, now time.Duration) {
	ticket := func(h *host) bool { _, ok := g.ticketFor(h, now); return ok }
	slices.SortStableFunc(hosts, func(a, b trialHost) int {
		if c := compareBool(g.givenBack[a.host], g.givenBack[b.host]); c != 0 {
			return c
		}
		if c := cmp.Compare(b.room, a.room); c != 0 && g.step.Gang {
			return c
		}
		if c := cmp.Compare(len(a.host.runs), len(b.host.runs)); c != 0 {
			return c
		}
		return compareBool(ticket(b.host), ticket(a.host))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// firstWithRoom returns the first hosts that have room for n tasks, or nil if more than
// most hosts were needed.
func firstWithRoom(hosts []trialHost, n, most int) []trialHost {
	for i, o := range hosts {
		n -= o.room
		if n <= 0 && i < most {
			return hosts[:i+1]
		}
	}
	return nil
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
