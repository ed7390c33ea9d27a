package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell"

// judge gives a job up if the crashes under one of its tasks show that it crashes its
// hosts, or suspects it. alone is set if the task was alone on the last of them.
func (s *Scheduler) judge(t *task, alone bool) {
	j := t.group.job
	if t.crashesHosts(alone) {
		s.finalize(j, cell.Failed, "hosts crashed under one of its tasks")
		return
	}
	if !j.suspected && t.suspectedCause() {
		j.suspected = true
		s.logMessage(j.sub.ID, "", "The submission is suspected of crashing hosts.")
	}
}

// crashesHosts reports whether the crashes under a task show that it crashes its hosts. Only
// confirmed ones do: a submission that is given up stays so. alone is set if it was alone on
// the last of them.
func (t *task) crashesHosts(alone bool) bool {
	if t.mostCrashesOfMember() < crashesToFail {
		return false
	}
	inTouch := t.crashesInTouch()
	return alone && t.seenCrashes() >= crashesToFail || len(inTouch) >= crashesToFailBlamed && blame(inTouch) >= blameToFail || len(t.crashes) >= maxCrashes
}

// mostCrashesOfMember returns how many hosts crashed under the same task, or the same
// member of a gang: a gang may lose hosts that have nothing in common.
func (t *task) mostCrashesOfMember() (most int) {
	count := make(map[int]int)
	unknown := 0
	for _, c := range t.crashes {
		if c.Members == nil {
			unknown++
		}
		for _, i := range c.Members {
			count[i]++
			most = max(most, count[i])
		}
	}
	return most + unknown
}

// crashesInTouch returns the crashes of hosts that had answered until then. The others
// count only towards maxCrashes: their cause is unknown.
func (t *task) crashesInTouch() (out []cell.Crash) {
	for _, c := range t.crashes {
		if !c.Silent {
			out = append(out, c)
		}
	}
	return out
}

// countsCrash reports whether a crash under a run is counted already. One of a silent
// host gives way to another one.
func (t *task) countsCrash(run int64, silent bool) bool {
	for _, c := range t.crashes {
		if c.Run == run && (silent || !c.Silent) {
			return true
		}
	}
	return false
}

// seenCrashes returns how many hosts crashed on which the task was certainly present.
func (t *task) seenCrashes() (n int) {
	for _, c := range t.crashes {
		if c.Seen {
			n++
		}
	}
	return n
}

// blame returns how much the crashes under the job's tasks speak against it: as much as
// those under the task that is blamed most, since one crash may count for several tasks.
func (j *job) blame() (most float64) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			most = max(most, t.blame())
		}
	}
	return most
}

// blame returns how much the crashes under a task speak against it, the unconfirmed ones
// included: each counts in equal parts for the submissions that may have caused it.
func (t *task) blame() float64 { return blame(t.suspicions()) }

func blame(crashes []cell.Crash) (sum float64) {
	for _, c := range crashes {
		sum += 1 / float64(max(c.Suspects, 1))
	}
	return sum
}

// suspectedCause reports whether the crashes under the task, the unconfirmed ones included,
// make it a suspected cause.
func (t *task) suspectedCause() bool {
	crashes := t.suspicions()
	return len(crashes) >= crashesUnlessRecent || len(crashes) > 0 && crashes[0].Recent
}
