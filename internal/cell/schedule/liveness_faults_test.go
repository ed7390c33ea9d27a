package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// causeFaults submits work and causes faults in n decisions.
func (l *livenessTest) causeFaults(n int) {
	l.faults = true
	l.deadly = func(t cell.TaskID) bool { return l.faults && isDeadly(t) }
	for range n {
		for range l.r.IntN(3) {
			l.submitAny()
		}
		l.now += time.Duration(20+l.r.IntN(300)) * time.Millisecond
		deliver := l.fault()
		l.cutsDeadly = l.r.IntN(4) == 0
		l.restartCrashed()
		l.answerAdvice(func(call adviceCall) bool { return l.now >= call.due })
		l.endDueRuns()
		l.pollHosts()
		l.decide(deliver)
	}
}

// endFaults ends the faults, at times but an evacuation, and waits until every host has answered.
func (l *livenessTest) endFaults() {
	l.faults = false
	if l.r.IntN(2) == 0 {
		l.evacuated = nil
	}
	for _, id := range l.ids() {
		if h := l.hosts[id]; h.downUntil == 0 {
			h.unreachable = false
		}
	}
	for end := l.now + crashDowntime; l.now < end; {
		l.advance(100 * time.Millisecond)
	}
	l.relist()
	l.s.MarkReconciled(l.now)
}

// fault causes one fault, or lets orders of the next decision get lost.
func (l *livenessTest) fault() (deliver func(Start) int) {
	ids := l.ids()
	id := ids[l.r.IntN(len(ids))]
	h := l.hosts[id]
	switch l.r.IntN(14) {
	case 0:
		l.cut(h)
	case 1:
		if h.unreachable {
			h.runs = nil // all leases there have expired
			l.s.MarkAllRunsGone(id, l.now)
		}
	case 2:
		h.unreachable = h.downUntil != 0
	case 3:
		l.replaceHost(id)
	case 4:
		if l.r.IntN(4) == 0 {
			l.replaceOwner()
			if !l.anyUnreachable() {
				l.s.MarkReconciled(l.now)
			}
		}
	case 5:
		for _, call := range l.calls {
			l.s.AdviceFailed(call.request.Group, l.now)
		}
		l.calls = nil
	case 6:
		return func(Start) int { return l.r.IntN(4) }
	case 7:
		l.crash(id)
	case 8:
		l.crashSilently(id)
	case 9:
		l.restartAsOther(id)
	case 10:
		l.relist()
	case 11:
		h.spec.Capacity = l.anyCapacity() // it shrinks or grows while its runs go on
		l.relist()
	case 12:
		if !h.unreachable {
			l.cutWithResets(id)
		}
	case 13:
		l.evacuated = cell.NewEvacuatedZones(l.anyZone())
		if l.r.IntN(3) == 0 {
			l.evacuated = nil
		}
	}
	return nil
}

// restartAsOther restarts a host with another capacity, which the host list shows later.
func (l *livenessTest) restartAsOther(id string) {
	l.restart(id)
	h := l.hosts[id]
	h.downUntil = 0
	h.spec.Capacity = l.anyCapacity()
}

// cut cuts a host off.
func (l *livenessTest) cut(h *fakeHost) {
	h.unreachable = true
	l.s.MarkSilent(h.id)
	l.s.MarkUnreachable(h.id)
}

// replaceHost replaces a host by one with another ID.
func (l *livenessTest) replaceHost(id string) {
	delete(l.hosts, id)
	l.addHost()
	l.s.MarkUnreachable(id)
	l.s.MarkAllRunsGone(id, l.now)
	l.relist()
	l.s.RemoveHost(id)
}
