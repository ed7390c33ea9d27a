package owner

import (
	"time"

	"pgregory.net/rapid"
)

// takeoverCause is how the term of an owner ends.
type takeoverCause uint8

const (
	// ownerKilled: the process is killed, and may be replaced by another one of its node.
	ownerKilled takeoverCause = iota
	// ownerDeposed: the owner acts on until it hears of its successor.
	ownerDeposed
	// ownerFrozen: the process stands still around the claim, and acts on after it.
	ownerFrozen
	// ownerStopped: the owner stops gracefully, and the ownership is released.
	ownerStopped
)

// span is a time span of a simulation.
type span struct{ from, to time.Duration }

func (s span) contains(t time.Duration) bool { return s.from <= t && t < s.to }

// plannedFreeze is a time at which a process stands still.
type plannedFreeze struct {
	span
	// steps is how many readings of the clock and calls are made before the process stands still.
	steps int
	// staleClock is set if the process stands still after it has read its clock.
	staleClock bool
}

// plannedTerm is the term of one owner.
type plannedTerm struct {
	// length is the time between the claim and the moment at which the term begins to end.
	length time.Duration
	cause  takeoverCause
	// notice is the time between that moment and the kill, the freeze or the stop, lead that
	// between these and the successor's claim.
	notice, lead time.Duration
	// aftermath is how long after its kill the process is replaced, or how long after the
	// successor's claim it stays frozen.
	aftermath time.Duration
	// hearsAfter is how long after the successor's claim, or its freeze, the owner hears of it.
	hearsAfter time.Duration
	// cutFromStore is set if a deposed owner is cut off from the store before the claim.
	cutFromStore bool
	// claimAnswer is the time between the claim and its being read.
	claimAnswer time.Duration
	// freezes are times, from the claim on, at which the process stands still.
	freezes []plannedFreeze
	// lastFreeze is the one of an owner that stands still around the claim; its span is not used.
	lastFreeze plannedFreeze
	// unreachable is the host that the owner does not reach; -1 for none.
	unreachable int
}

// moment is the claim of a term, or the moment at which it begins to end. Other events are
// planned from a moment on.
type moment struct {
	term   int
	ending bool
}

// plannedFault is a fault of the calls of some owners to some hosts.
type plannedFault struct {
	after moment
	span
	kind networkFault
	// owner and host are indexes; -1 for all.
	owner, host int
	calls       callKind
	delay       time.Duration
}

// plannedCrash is a crash of a host, which comes back.
type plannedCrash struct {
	after moment
	host  int
	span
}

// plannedEntry is a time at which a host is listed as leaving, or is not listed.
type plannedEntry struct {
	after moment
	host  int
	span
	leaving bool
}

// plannedJob is a submission.
type plannedJob struct {
	after    moment
	at       time.Duration
	tasks    int
	duration time.Duration
}

// plan is what happens in a simulation of several owners.
type plan struct {
	// slowness is by how many thousandths the clock of each host is slow.
	slowness []int
	// age is how long the hosts have been up.
	age time.Duration
	// capacity is the number of runs that fit on a host.
	capacity int
	terms    []plannedTerm
	faults   []plannedFault
	crashes  []plannedCrash
	entries  []plannedEntry
	jobs     []plannedJob
	// storeDelays are the delays of the store before and after it stores an append, in turn.
	storeDelays []time.Duration
}

func drawMs(t *rapid.T, from, to int, name string) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
}

// drawShortMs draws a time that is often short.
func drawShortMs(t *rapid.T, to int, name string) time.Duration {
	return drawMs(t, 0, rapid.SampledFrom([]int{min(50, to), min(1000, to), to}).Draw(t, name+" at most"), name)
}

func drawSpan(t *rapid.T, latest, longest int) span {
	from := drawShortMs(t, latest, "from ms")
	return span{from, from + drawShortMs(t, longest, "for ms") + time.Millisecond}
}

func drawFreeze(t *rapid.T, latest, longest int) plannedFreeze {
	return plannedFreeze{drawSpan(t, latest, longest), rapid.IntRange(0, 6).Draw(t, "steps"), rapid.Bool().Draw(t, "stale clock")}
}

func drawTerm(t *rapid.T, hosts int) plannedTerm {
	p := plannedTerm{
		length: drawMs(t, 100, 9000, "term ms"), cause: takeoverCause(rapid.IntRange(0, 3).Draw(t, "cause")), notice: drawMs(t, 0, rapid.SampledFrom([]int{5, 100}).Draw(t, "notice at most"), "notice ms"), lead: drawShortMs(t, 3000, "lead ms"),
		aftermath: rapid.SampledFrom([]time.Duration{0, 8500 * time.Millisecond}).Draw(t, "aftermath") + drawMs(t, 0, 4500, "aftermath ms"), hearsAfter: drawMs(t, 0, 4000, "hears after ms"), claimAnswer: drawMs(t, 0, 400, "claim answer ms"), lastFreeze: drawFreeze(t, 0, 1),
		cutFromStore: rapid.Bool().Draw(t, "cut from the store"), unreachable: rapid.IntRange(-1, hosts-1).Draw(t, "unreachable host"),
	}
	for range rapid.IntRange(0, 2).Draw(t, "freezes") {
		p.freezes = append(p.freezes, drawFreeze(t, 9000, 6000))
	}
	return p
}

func drawFault(t *rapid.T, after moment, owners, hosts int) plannedFault {
	return plannedFault{
		after: after, span: drawSpan(t, 9000, 8000),
		kind: networkFault(rapid.IntRange(int(callCut), int(lastFault)).Draw(t, "fault")), owner: rapid.IntRange(-1, owners-1).Draw(t, "owner"), host: rapid.IntRange(-1, hosts-1).Draw(t, "host"),
		calls: callKind(rapid.IntRange(0, 2).Draw(t, "calls")), delay: drawMs(t, 100, 12_000, "delay ms"),
	}
}

func drawPlan(t *rapid.T) plan {
	p := plan{capacity: rapid.IntRange(1, 4).Draw(t, "capacity")}
	p.age = drawMs(t, 0, 50_000, "age ms")
	hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
	for range hosts {
		p.slowness = append(p.slowness, rapid.IntRange(0, 20).Draw(t, "slowness"))
	}
	for range rapid.SampledFrom([]int{2, 2, 3}).Draw(t, "terms") {
		p.terms = append(p.terms, drawTerm(t, hosts))
	}
	drawMoment := func() moment {
		return moment{rapid.IntRange(0, len(p.terms)-1).Draw(t, "after the claim"), rapid.Bool().Draw(t, "at the end of the term")}
	}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		p.faults = append(p.faults, drawFault(t, drawMoment(), len(p.terms), hosts))
	}
	for range rapid.IntRange(0, 3).Draw(t, "crashes") {
		p.crashes = append(p.crashes, plannedCrash{drawMoment(), rapid.IntRange(0, hosts-1).Draw(t, "host"), drawSpan(t, 9000, 6000)})
	}
	for range rapid.IntRange(0, 2).Draw(t, "entries") {
		p.entries = append(p.entries, plannedEntry{drawMoment(), rapid.IntRange(0, hosts-1).Draw(t, "host"), drawSpan(t, 9000, 20_000), rapid.Bool().Draw(t, "leaving")})
	}
	for range rapid.IntRange(1, 4).Draw(t, "jobs") {
		at := rapid.SampledFrom([]int{0, 5, 20, 9000}).Draw(t, "job at most")
		after := rapid.SampledFrom([]moment{{0, true}, drawMoment()}).Draw(t, "job after")
		p.jobs = append(p.jobs, plannedJob{after, drawMs(t, 0, at, "at ms"), rapid.IntRange(1, 6).Draw(t, "tasks"), drawMs(t, 100, 20_000, "duration ms")})
	}
	for range rapid.IntRange(1, 4).Draw(t, "store delays") {
		p.storeDelays = append(p.storeDelays, drawShortMs(t, 1000, "store ms")+time.Millisecond)
	}
	return p
}
