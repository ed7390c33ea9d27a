package homing

import (
	"cmp"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// planSpanning splits a gang over the fewest shards whose empty hosts hold it.
// Among equally many it prefers shards of one zone, then of one region, then
// those with the most room now. The parts are in proportion to the room, as far
// as the empty shards hold them. It fails with CodeInfeasible if all shards
// together cannot hold the gang.
func planSpanning(job work.Job, shards []Shard) ([]Part, error) {
	n := int64(job.Tasks)
	all := int64(0)
	for _, s := range shards {
		all += s.total(job.Size)
	}
	if all < n {
		return nil, verdict.New(verdict.DidNotRun, CodeInfeasible,
			"infeasible: all shards together hold %d tasks of %s, gang has %d", all, job.Size, n)
	}
	chosen := chooseShards(job, shards)
	slices.SortFunc(chosen, func(a, b Shard) int { return cmp.Compare(a.Name, b.Name) })
	totals, rooms := make([]int64, len(chosen)), make([]int64, len(chosen))
	room := int64(0)
	for i, s := range chosen {
		totals[i] = s.total(job.Size)
		rooms[i] = min(totals[i], s.room(job.Size))
		room += rooms[i]
	}
	if room < n {
		rooms = totals
	}
	counts := make([]int64, len(chosen))
	share(counts, rooms, n)
	return parts(chosen, counts), nil
}

// chooseShards returns the best of the smallest sets that hold the gang: for
// each zone and region the set that starts there, and one that starts anywhere.
func chooseShards(job work.Job, shards []Shard) []Shard {
	var best []Shard
	bestScore := []int64{}
	for _, start := range shards {
		set := fill(job, shards, start)
		if score := setScore(job, set); best == nil || slices.Compare(score, bestScore) < 0 {
			best, bestScore = set, score
		}
	}
	for _, zone := range []bool{true, false} {
		for _, start := range shards {
			set := fill(job, within(shards, start, zone), start)
			if set == nil {
				continue
			}
			if score := setScore(job, set); slices.Compare(score, bestScore) < 0 {
				best, bestScore = set, score
			}
		}
	}
	return best
}

// within returns the shards of the zone or of the region of start.
func within(shards []Shard, start Shard, zone bool) []Shard {
	var out []Shard
	for _, s := range shards {
		if (zone && s.Zone == start.Zone) || (!zone && s.Region == start.Region) {
			out = append(out, s)
		}
	}
	return out
}

// fill returns the largest shards, equal ones nearest to start and then with
// the most room first, until they hold the gang, or nil if they do not.
func fill(job work.Job, shards []Shard, start Shard) []Shard {
	sorted := slices.Clone(shards)
	slices.SortStableFunc(sorted, func(a, b Shard) int {
		return cmp.Or(
			cmp.Compare(b.total(job.Size), a.total(job.Size)),
			cmp.Compare(distance(a, start), distance(b, start)),
			cmp.Compare(b.room(job.Size)-b.Waiting, a.room(job.Size)-a.Waiting),
		)
	})
	left := int64(job.Tasks)
	for i, s := range sorted {
		if left -= s.total(job.Size); left <= 0 {
			return sorted[:i+1]
		}
	}
	return nil
}

// distance is 0 within a zone, 1 within a region, else 2.
func distance(a, b Shard) int {
	switch {
	case a.Zone == b.Zone && a.Region == b.Region:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// setScore orders sets of shards; the lowest is best: number of shards, of
// regions and of zones, then the room in descending order.
func setScore(job work.Job, set []Shard) []int64 {
	zones, regions := map[string]bool{}, map[string]bool{}
	room := int64(0)
	for _, s := range set {
		zones[s.Region+"\x00"+s.Zone], regions[s.Region] = true, true
		room += s.room(job.Size) - s.Waiting
	}
	return []int64{int64(len(set)), int64(len(regions)), int64(len(zones)), -room}
}
