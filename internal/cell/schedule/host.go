package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// host is a worker host and the runs that are assumed to be present on it.
type host struct {
	spec cell.Host
	rack string
	// listed is set while the host is in the platform's host list.
	listed bool
	// runsKnown is set once the host has reported its runs under the current
	// fencing token.
	runsKnown bool
	// reachable is set while the host answers.
	reachable bool
	// earlierRunsUnknown is set while runs of earlier owners may be present that are
	// not recorded here.
	earlierRunsUnknown bool
	// earlierRunsGone is when and why earlierRunsUnknown ended.
	earlierRunsGone gone
	// evacuated is set while the zone of the host is evacuated.
	evacuated bool
	// closed is set from when the owner closes the host to new runs, or takes it
	// over as closed, until the record that opens it is stored.
	closed bool
	life   hostLifetime
	used   resource.Vector
	// longRunning is the part of used that belongs to long-running tasks.
	longRunning resource.Vector
	// bestEffortCPU is the CPU demand, in thousandths of a core, of best-effort
	// tasks. They use only CPU time that other tasks leave idle.
	bestEffortCPU int64
	runs          map[runKey]*taskRun
	// unknownRuns is the number of reported runs whose size is not known, since
	// their submissions have finished. Nothing is placed beside them.
	unknownRuns int
	// reserved is what this pass reserves for gangs ahead in the queue.
	reserved      resource.Vector
	reservedUntil time.Duration
	// expectedEnds caches the expected ends of the runs, sorted by time; nil
	// until this pass needs them.
	expectedEnds []expectedEnd
	health       health
	// crashed is set from when the process of the host has gone until the host answers
	// again or its runs are known to be gone.
	crashed bool
	// silent is set from when the host left a call without an answer until it answers
	// again; crashedSilently is set if it was silent before its process had gone.
	silent, crashedSilently bool
	// restarted is set once the host is known to have crashed and to have restarted since
	// this owner has known it.
	restarted bool
	// reportedAt is when the host last reported its runs.
	reportedAt time.Duration
	// reportGap is the time between the last report and the one before.
	reportGap time.Duration
	// trial is the run of a suspected task that may crash the host; nil if none.
	trial *taskRun
	// quarantinedFor is the group under trial for which the host is kept free of other
	// work; nil if none.
	quarantinedFor *group
	// trialRoom is for how many tasks of the group the host is kept free, and useBy when
	// it is given back unless the trial has begun.
	trialRoom int
	useBy     time.Duration
	// bestEffortBlockedUntil is until when the host gets no best-effort tasks,
	// to protect its latency-sensitive tasks.
	bestEffortBlockedUntil time.Duration
}

// hostLifetime is what holds for one lifetime of a host.
type hostLifetime struct {
	// startedMs is when it began, in Unix milliseconds; zero if unknown.
	startedMs int64
	// reportedSince is when its first report was applied.
	reportedSince time.Duration
	// lastEndNumber is the highest number of an ended run that has been applied.
	lastEndNumber int64
}

// runKey identifies a run on one host.
type runKey struct {
	task cell.TaskID
	run  int64
}

// usable reports whether the host takes new work.
func (h *host) usable(now time.Duration) bool {
	return h.unknownRuns == 0 && !h.closed && h.listedAsIs() && h.runsKnown && h.reachable && !h.spec.Leaving && !h.evacuated && !h.health.avoided(now)
}

// instance returns the lifetime of the host that answered last.
func (h *host) instance() cell.HostInstance {
	return cell.HostInstance{ID: h.spec.ID, StartedMs: h.life.startedMs}
}

// listedAsIs reports whether the host list describes the instance that answers. After a
// restart the host may be of another kind.
func (h *host) listedAsIs() bool {
	return h.listed && (h.spec.StartedMs == 0 || h.life.startedMs == 0 || h.spec.StartedMs == h.life.startedMs)
}

// free returns the capacity that no run uses; ordered starts count as runs. It
// includes reserved resources.
func (h *host) free() resource.Vector { return h.spec.Capacity.Sub(h.used) }

// freeFor returns the resources that are free for a task that is expected to end
// at the time end. Resources that are reserved for a gang may be used by tasks
// that end before the gang can start.
func (h *host) freeFor(end time.Duration) resource.Vector {
	if end <= h.reservedUntil {
		return h.free()
	}
	return h.free().Sub(h.reserved)
}

// tasksIn returns how many tasks of a size fit into the free resources.
func tasksIn(size, free resource.Vector) int {
	n := int64(1 << 20)
	for i := range resource.Dimensions {
		if size.At(i) > 0 {
			n = min(n, free.At(i)/size.At(i))
		}
	}
	return int(max(n, 0))
}

// sortedRuns returns the runs on the host in a fixed order.
func (h *host) sortedRuns() []*taskRun {
	out := make([]*taskRun, 0, len(h.runs))
	for _, a := range h.runs {
		out = append(out, a)
	}
	sortRuns(out)
	return out
}
