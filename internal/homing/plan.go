package homing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// The codes of refusals.
const (
	// CodeInfeasible means that no shard can ever hold the job.
	CodeInfeasible = "infeasible"
	// CodeNotReady means that no shard is known yet.
	CodeNotReady = "not-ready"
)

// Plan splits a job into parts. It fails with verdict.DidNotRun and
// CodeInfeasible if the job can never run, or CodeNotReady if no shard with
// hosts is known.
func Plan(job work.Job, shards []Shard) ([]Part, error) {
	candidates, err := feasible(job, shards)
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

// feasible returns the shards that can hold a task of the job at all.
func feasible(job work.Job, shards []Shard) ([]Shard, error) {
	var fit []Shard
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
			"infeasible: largest host has %s, task wants %s", largest, job.Size)
	}
	slices.SortFunc(fit, func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	return fit, nil
}

// planGang puts a gang into one shard: the one with the most room if one has
// room for all, else the one whose empty hosts hold it and where least waits. A
// gang that no empty shard holds spans several.
func planGang(job work.Job, shards []Shard) ([]Part, error) {
	best, bestScore := -1, int64(0)
	for i, s := range shards {
		total := s.total(job.Size)
		if total < int64(job.Tasks) {
			continue
		}
		score := s.room(job.Size) - s.Waiting
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return planSpanning(job, shards)
	}
	return []Part{{Shard: shards[best].Name, Count: job.Tasks}}, nil
}

// planService spreads replicas over availability zones first, and over the
// shards of a zone by room.
func planService(job work.Job, shards []Shard) []Part {
	counts := make([]int64, len(shards))
	perZone := map[string]int64{}
	for range job.Tasks {
		best := -1
		for i, s := range shards {
			if best < 0 || serviceBefore(s, shards[best], counts[i], counts[best], perZone, job.Size) {
				best = i
			}
		}
		counts[best]++
		perZone[shards[best].Zone]++
	}
	return parts(shards, counts)
}

// serviceBefore reports whether the next replica goes to a rather than to b.
func serviceBefore(a, b Shard, countA, countB int64, perZone map[string]int64, size resource.Vector) bool {
	roomA, roomB := a.room(size) > countA, b.room(size) > countB
	if roomA != roomB {
		return roomA
	}
	if perZone[a.Zone] != perZone[b.Zone] {
		return perZone[a.Zone] < perZone[b.Zone]
	}
	return a.room(size)-countA > b.room(size)-countB
}

// planBatch fills free room in proportion, and spreads the rest by capacity.
// A job that fits into one shard stays in one.
func planBatch(job work.Job, shards []Shard) []Part {
	counts := make([]int64, len(shards))
	rooms := make([]int64, len(shards))
	var free int64
	roomiest := 0
	for i, s := range shards {
		rooms[i] = max(0, s.room(job.Size)-s.Waiting)
		free += rooms[i]
		if rooms[i] > rooms[roomiest] || (rooms[i] == rooms[roomiest] && tieBefore(job, s, shards[roomiest])) {
			roomiest = i
		}
	}
	n := int64(job.Tasks)
	if rooms[roomiest] >= n {
		counts[roomiest] = n
		return parts(shards, counts)
	}
	inRoom := min(n, free)
	share(counts, rooms, inRoom)
	totals := make([]int64, len(shards))
	for i, s := range shards {
		totals[i] = max(1, s.total(job.Size))
	}
	share(counts, totals, n-inRoom)
	return parts(shards, counts)
}

// tieBefore orders shards of equal room by a hash of the job, so that many
// small jobs that arrive between two summaries do not all go to one shard.
func tieBefore(job work.Job, a, b Shard) bool {
	return tieHash(job, a) < tieHash(job, b)
}

func tieHash(job work.Job, s Shard) uint64 {
	return xxhash.Sum64String(string(job.ID) + "\x00" + s.Name)
}

// share adds n to counts in proportion to weights, by largest remainder.
func share(counts, weights []int64, n int64) {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	if sum == 0 || n <= 0 {
		return
	}
	remainders := make([]int, len(weights))
	given := int64(0)
	for i, w := range weights {
		remainders[i] = i
		counts[i] += n * w / sum
		given += n * w / sum
	}
	slices.SortStableFunc(remainders, func(a, b int) int {
		return cmp.Compare(n*weights[b]%sum, n*weights[a]%sum)
	})
	for _, i := range remainders[:n-given] {
		counts[i]++
	}
}

// parts turns counts into consecutive ranges.
func parts(shards []Shard, counts []int64) []Part {
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

// queueFactor is how many times the tasks that fit a shard may wait there. Some
// queue keeps the hosts busy until the next move; a long one would only move
// the wait.
const queueFactor = 4

// Refuge returns the shard, other than the given one, with the shortest queue
// for its size, and how many tasks it may be given. It is for tasks of a shard
// that has no host that takes tasks, so that waiting there is in vain.
func Refuge(size resource.Vector, from string, shards []Shard) (name string, count int64) {
	for _, s := range shards {
		if s.Name == from || !s.Owned || s.LargestFree.IsZero() && s.Free.IsZero() && s.Waiting == 0 {
			continue
		}
		if n := queueFactor*s.total(size) - s.Waiting; n > count {
			name, count = s.Name, n
		}
	}
	return name, count
}

// Target returns the shard, other than the given one, that is best for tasks
// of a size that found no room, and how many of them it has room for.
func Target(size resource.Vector, from string, shards []Shard) (name string, room int64) {
	for _, s := range shards {
		if s.Name == from || !s.Owned {
			continue
		}
		if n := s.room(size) - s.Waiting; n > room {
			name, room = s.Name, n
		}
	}
	return name, room
}

func maxVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
