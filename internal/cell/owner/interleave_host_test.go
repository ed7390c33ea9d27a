package owner

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// protocolRun is a run on a protocolHost.
type protocolRun struct {
	task   cell.TaskID
	run    int64
	endsAt time.Duration
}

// protocolEnd is an end that has not been acknowledged.
type protocolEnd struct {
	cell.Ended
	at time.Duration
}

// protocolLifetime is what a host forgets when it crashes.
type protocolLifetime struct {
	up     bool
	bornAt time.Duration
	fence  int64
	// leaseEnd is on the host's clock; lapsedAt is when it last passed.
	leaseEnd, lapsedAt time.Duration
	runs               []protocolRun
	ended              []protocolEnd
	endCount           int64
	// highestEnded holds the highest run of each task that was stopped or has ended.
	highestEnded map[cell.TaskID]int64
}

// protocolHost is a fake host that follows the protocol: its clock is slow, its runs end with
// its lease, and a restart forgets everything.
type protocolHost struct {
	protocolLifetime
	id string
	// slowness is by how many thousandths its clock is slow.
	slowness int
	// capacity is the number of runs that fit on it.
	capacity int
	ledger   *runLedger
}

// restart begins a lifetime.
func (h *protocolHost) restart(now time.Duration) {
	h.protocolLifetime = protocolLifetime{up: true, bornAt: now, highestEnded: make(map[cell.TaskID]int64)}
}

// crash ends the present lifetime.
func (h *protocolHost) crash(now time.Duration) {
	h.advance(now)
	h.up, h.runs = false, nil
}

// lifetime returns the start of the present lifetime in milliseconds.
func (h *protocolHost) lifetime() int64 { return h.bornAt.Milliseconds() }

func (h *protocolHost) clock(now time.Duration) time.Duration {
	return (now - h.bornAt) * time.Duration(1000-h.slowness) / 1000
}

// expiry returns when the lease passes.
func (h *protocolHost) expiry() time.Duration {
	return h.bornAt + h.leaseEnd*1000/time.Duration(1000-h.slowness)
}

// advance ends the runs that are over, and all runs once the lease has passed.
func (h *protocolHost) advance(now time.Duration) {
	slices.SortFunc(h.runs, func(a, b protocolRun) int { return int(a.endsAt - b.endsAt) })
	expiry := h.expiry()
	for len(h.runs) > 0 && h.runs[0].endsAt <= min(now, expiry) {
		h.end(h.runs[0], cell.OutcomeDone, h.runs[0].endsAt)
		h.runs = h.runs[1:]
	}
	if h.leaseEnd == 0 || expiry > now {
		return
	}
	for _, r := range h.runs {
		h.end(r, cell.OutcomeLeaseExpired, expiry)
	}
	h.runs, h.lapsedAt = nil, expiry
}

func (h *protocolHost) end(r protocolRun, how cell.Outcome, at time.Duration) {
	h.endCount++
	h.ended = append(h.ended, protocolEnd{cell.Ended{Number: h.endCount, Task: r.task, Run: r.run, Outcome: how}, at})
	h.highestEnded[r.task] = max(h.highestEnded[r.task], r.run)
	h.ledger.note("%s: %s run %d ended: %s", h.id, r.task, r.run, how)
}

// admits advances the host, records the fencing token of a call, and reports whether the call
// is carried out.
func (h *protocolHost) admits(token int64, now time.Duration) bool {
	h.advance(now)
	if token < h.fence {
		return false
	}
	h.fence = token
	return true
}

// renew extends the lease, at most to the longest one.
func (h *protocolHost) renew(endMs int64, now time.Duration) {
	end := min(time.Duration(endMs)*time.Millisecond, h.clock(now)+testMaxLease)
	h.leaseEnd = max(h.leaseEnd, end)
}

func (h *protocolHost) has(task cell.TaskID, run int64) bool {
	return slices.ContainsFunc(h.runs, func(r protocolRun) bool { return r.task == task && r.run == run })
}

// start carries out a start order.
func (h *protocolHost) start(o platform.Start, duration, now time.Duration) platform.Refusal {
	switch {
	case !h.admits(o.Token, now):
		return platform.RefusedFenced
	case time.Duration(o.LeaseEndMs)*time.Millisecond <= h.clock(now):
		return platform.RefusedLeaseExpired
	}
	h.renew(o.LeaseEndMs, now)
	switch {
	case h.has(o.Task, o.Run):
		return platform.NotRefused
	case o.Run <= h.highestEnded[o.Task]:
		return platform.RefusedStaleRun
	case len(h.runs) >= h.capacity:
		return platform.RefusedNoCapacity
	}
	h.ledger.started(h, o.Task, o.Run, now)
	h.runs = append(h.runs, protocolRun{o.Task, o.Run, now + duration})
	return platform.NotRefused
}

// stop carries out a stop order.
func (h *protocolHost) stop(task cell.TaskID, run, token int64, now time.Duration) platform.Refusal {
	if !h.admits(token, now) {
		return platform.RefusedFenced
	}
	h.highestEnded[task] = max(h.highestEnded[task], run)
	for _, r := range slices.Clone(h.runs) {
		if r.task == task && r.run <= run {
			h.runs = slices.DeleteFunc(h.runs, func(o protocolRun) bool { return o == r })
			h.end(r, cell.OutcomeStopped, now)
		}
	}
	return platform.NotRefused
}

// hold carries out a poll up to its answer.
func (h *protocolHost) hold(o platform.Poll, now time.Duration) platform.Refusal {
	if !h.admits(o.Token, now) {
		return platform.RefusedFenced
	}
	for len(h.ended) > 0 && h.ended[0].Number <= o.Ack {
		h.ledger.acknowledged(h, h.ended[0], h.lapsedAt >= h.ended[0].at)
		h.ended = h.ended[1:]
	}
	if o.LeaseEndMs > 0 {
		h.renew(o.LeaseEndMs, now)
	}
	return platform.NotRefused
}

// report returns the answer to a poll.
func (h *protocolHost) report(now time.Duration) cell.HostReport {
	h.advance(now)
	r := cell.HostReport{StartedMs: h.lifetime(), ClockMs: h.clock(now).Milliseconds()}
	for _, p := range h.runs {
		r.Running = append(r.Running, cell.Running{Task: p.task, Run: p.run, Percent: 100, UsageOrLatencyMs: 1})
	}
	for _, e := range h.ended {
		r.Ended = append(r.Ended, e.Ended)
	}
	return r
}
