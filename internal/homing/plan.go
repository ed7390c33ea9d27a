package homing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Codes of the errors of this package.
const (
	// CodeInfeasible means that the shards cannot hold the job even while they
	// are empty.
	CodeInfeasible = "infeasible"
	// CodeNotReady means that no shard with hosts is known yet.
	CodeNotReady = "not-ready"
)

// Plan splits a job into parts with one home shard each. It fails with
// verdict.DidNotRun and CodeInfeasible if the job can never run, or CodeNotReady
// if no shard with hosts is known.
func Plan(job work.Job, shards []ShardSummary) ([]Part, error) {
	candidates, err := feasibleShards(job, shards)
	if err != nil {
		return nil, err
	}
	switch job.Kind {
	case work.Gang:
		return planGang(job, candidates)
	case work.Service:
		return planService(job, candidates), nil
	default:
		return planBatch(job, candidates), nil
	}
}

// feasibleShards returns the shards that can hold at least one task of the job,
// sorted by name. Its errors are those of Plan.
func feasibleShards(job work.Job, shards []ShardSummary) ([]ShardSummary, error) {
	var fit []ShardSummary
	var largest resource.Vector
	known := false
	for _, s := range shards {
		if s.Capacity.IsZero() {
			continue
		}
		known = true
		largest = maxVector(largest, s.LargestHost)
		if job.Size.Fits(s.LargestHost) {
			fit = append(fit, s)
		}
	}
	if !known {
		return nil, verdict.New(verdict.DidNotRun, CodeNotReady, "no hosts are known yet")
	}
	if len(fit) == 0 {
		return nil, verdict.New(verdict.DidNotRun, CodeInfeasible,
			"infeasible: the largest hosts have at most %s, a task needs %s", largest, job.Size)
	}
	slices.SortFunc(fit, func(a, b ShardSummary) int { return cmp.Compare(a.Name, b.Name) })
	return fit, nil
}

// planGang assigns a gang to one shard. Among the shards that can hold the gang
// while empty, it chooses the one with the most free capacity left after the tasks
// that wait there. A gang that no single shard can hold spans several.
func planGang(job work.Job, shards []ShardSummary) ([]Part, error) {
	best, bestScore := -1, int64(0)
	for i, s := range shards {
		total := s.tasksFittingEmpty(job.Size)
		if total < int64(job.Tasks) {
			continue
		}
		score := s.tasksFittingNow(job.Size) - s.Waiting
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return planSpanning(job, shards)
	}
	return []Part{{Shard: shards[best].Name, Count: job.Tasks}}, nil
}

// planService spreads replicas over availability zones first, and within a zone
// over the shards by free capacity.
func planService(job work.Job, shards []ShardSummary) []Part {
	counts := make([]int64, len(shards))
	perZone := map[string]int64{}
	for range job.Tasks {
		best := -1
		for i, s := range shards {
			if best < 0 || preferForReplica(s, shards[best], counts[i], counts[best], perZone, job.Size) {
				best = i
			}
		}
		counts[best]++
		perZone[shards[best].Zone]++
	}
	return partsFromCounts(shards, counts)
}

// preferForReplica reports whether shard a is preferred to b for the next replica.
// A shard with free capacity comes first, then one in the zone with fewer replicas,
// then the one with more free capacity.
func preferForReplica(a, b ShardSummary, countA, countB int64, perZone map[string]int64, size resource.Vector) bool {
	roomA, roomB := a.tasksFittingNow(size) > countA, b.tasksFittingNow(size) > countB
	if roomA != roomB {
		return roomA
	}
	if perZone[a.Zone] != perZone[b.Zone] {
		return perZone[a.Zone] < perZone[b.Zone]
	}
	return a.tasksFittingNow(size)-countA > b.tasksFittingNow(size)-countB
}

// planBatch distributes tasks in proportion to the free capacity of the shards, and
// those that exceed it in proportion to total capacity. A job that fits into the
// free capacity of one shard stays in one.
func planBatch(job work.Job, shards []ShardSummary) []Part {
	counts := make([]int64, len(shards))
	rooms := make([]int64, len(shards))
	var free int64
	mostRoom := 0
	for i, s := range shards {
		rooms[i] = max(0, s.tasksFittingNow(job.Size)-s.Waiting)
		free += rooms[i]
		if rooms[i] > rooms[mostRoom] || (rooms[i] == rooms[mostRoom] && lessByHash(job, s, shards[mostRoom])) {
			mostRoom = i
		}
	}
	n := int64(job.Tasks)
	if rooms[mostRoom] >= n {
		counts[mostRoom] = n
		return partsFromCounts(shards, counts)
	}
	fittingNow := min(n, free)
	apportion(counts, rooms, fittingNow)
	totals := make([]int64, len(shards))
	for i, s := range shards {
		totals[i] = max(1, s.tasksFittingEmpty(job.Size))
	}
	apportion(counts, totals, n-fittingNow)
	return partsFromCounts(shards, counts)
}

// lessByHash orders shards of equal free capacity by a hash of the job and shard,
// so that many small jobs that arrive between two summaries do not all go to one
// shard.
func lessByHash(job work.Job, a, b ShardSummary) bool {
	return tieHash(job, a) < tieHash(job, b)
}

func tieHash(job work.Job, s ShardSummary) uint64 {
	return xxhash.Sum64String(string(job.ID) + "\x00" + s.Name)
}

// apportion distributes n over counts in proportion to weights, by the largest
// remainder method.
func apportion(counts, weights []int64, n int64) {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	if sum == 0 || n <= 0 {
		return
	}
	remainders := make([]int, len(weights))
	apportioned := int64(0)
	for i, w := range weights {
		remainders[i] = i
		counts[i] += n * w / sum
		apportioned += n * w / sum
	}
	slices.SortStableFunc(remainders, func(a, b int) int {
		return cmp.Compare(n*weights[b]%sum, n*weights[a]%sum)
	})
	for _, i := range remainders[:n-apportioned] {
		counts[i]++
	}
}

// partsFromCounts returns one part for each shard with a positive count. The parts
// are consecutive ranges of tasks.
func partsFromCounts(shards []ShardSummary, counts []int64) []Part {
	var out []Part
	var first int32
	for i, n := range counts {
		if n > 0 {
			out = append(out, Part{Shard: shards[i].Name, First: first, Count: int32(n)})
			first += int32(n)
		}
	}
	return out
}

// maxQueueFactor limits the number of tasks that may wait in a shard, as a multiple
// of the tasks that fit there while it is empty. A short queue keeps the hosts
// busy until the next move; a long one would only move the wait to another shard.
const maxQueueFactor = 4

// FallbackTarget returns the shard, other than from, whose queue can take the
// most further tasks of a size, and how many it can take. It is meant for tasks
// in a shard without a host that accepts tasks, where they could not start.
// The name is empty if no shard can take any.
func FallbackTarget(size resource.Vector, from string, shards []ShardSummary) (name string, count int64) {
	for _, s := range shards {
		if s.Name == from || !s.Owned || s.LargestFree.IsZero() && s.Free.IsZero() && s.Waiting == 0 {
			continue
		}
		if n := maxQueueFactor*s.tasksFittingEmpty(size) - s.Waiting; n > count {
			name, count = s.Name, n
		}
	}
	return name, count
}

// MoveTarget returns the shard, other than from, with the most free capacity
// for tasks of a size, after the tasks that wait there, and how many of them
// fit. The name is empty if no shard has free capacity.
func MoveTarget(size resource.Vector, from string, shards []ShardSummary) (name string, fitting int64) {
	for _, s := range shards {
		if s.Name == from || !s.Owned {
			continue
		}
		if n := s.tasksFittingNow(size) - s.Waiting; n > fitting {
			name, fitting = s.Name, n
		}
	}
	return name, fitting
}

func maxVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
