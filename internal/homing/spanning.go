package homing

import (
	"cmp"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// planSpanning splits a gang over the smallest number of shards that can hold it
// while empty. Among sets of equal size it prefers shards of one zone, then of one
// region, then those with the most free capacity. The parts are in proportion to
// the free capacity, up to what each empty shard can hold. If the free capacity is
// too small for the gang, they are in proportion to what the empty shards hold. It
// fails with CodeInfeasible if all shards together cannot hold the gang.
func planSpanning(job work.Job, shards []ShardSummary) ([]Part, error) {
	n := int64(job.Tasks)
	all := int64(0)
	for _, s := range shards {
		all += s.tasksFittingEmpty(job.Size)
	}
	if all < n {
		return nil, verdict.New(verdict.DidNotRun, CodeInfeasible,
			"infeasible: all shards together hold %d tasks of %s, gang has %d", all, job.Size, n)
	}
	chosen := chooseShards(job, shards)
	slices.SortFunc(chosen, func(a, b ShardSummary) int { return cmp.Compare(a.Name, b.Name) })
	totals, rooms := make([]int64, len(chosen)), make([]int64, len(chosen))
	room := int64(0)
	for i, s := range chosen {
		totals[i] = s.tasksFittingEmpty(job.Size)
		rooms[i] = min(totals[i], s.tasksFittingNow(job.Size))
		room += rooms[i]
	}
	if room < n {
		rooms = totals
	}
	counts := make([]int64, len(chosen))
	apportion(counts, rooms, n)
	return partsFromCounts(chosen, counts), nil
}

// chooseShards returns the best, by setScore, of the candidate sets of shards that
// can hold the gang. The candidates are the smallest sets near each shard: from all
// shards, from the shards of its zone and from those of its region.
func chooseShards(job work.Job, shards []ShardSummary) []ShardSummary {
	var best []ShardSummary
	bestScore := []int64{}
	for _, start := range shards {
		set := smallestSet(job, shards, start)
		if score := setScore(job, set); best == nil || slices.Compare(score, bestScore) < 0 {
			best, bestScore = set, score
		}
	}
	for _, zone := range []bool{true, false} {
		for _, start := range shards {
			set := smallestSet(job, sameZoneOrRegion(shards, start, zone), start)
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

// sameZoneOrRegion returns the shards in the zone of start if zone is set, else
// those in its region.
func sameZoneOrRegion(shards []ShardSummary, start ShardSummary, zone bool) []ShardSummary {
	var out []ShardSummary
	for _, s := range shards {
		if (zone && s.Zone == start.Zone) || (!zone && s.Region == start.Region) {
			out = append(out, s)
		}
	}
	return out
}

// smallestSet returns the largest of the shards, as many as are needed to hold the
// gang, or nil if all of them cannot hold it. Among shards of equal size it takes
// those nearest to start first, then those with the most free capacity.
func smallestSet(job work.Job, shards []ShardSummary, start ShardSummary) []ShardSummary {
	sorted := slices.Clone(shards)
	slices.SortStableFunc(sorted, func(a, b ShardSummary) int {
		return cmp.Or(
			cmp.Compare(b.tasksFittingEmpty(job.Size), a.tasksFittingEmpty(job.Size)),
			cmp.Compare(distance(a, start), distance(b, start)),
			cmp.Compare(b.tasksFittingNow(job.Size)-b.Waiting, a.tasksFittingNow(job.Size)-a.Waiting),
		)
	})
	left := int64(job.Tasks)
	for i, s := range sorted {
		if left -= s.tasksFittingEmpty(job.Size); left <= 0 {
			return sorted[:i+1]
		}
	}
	return nil
}

// distance returns 0 for shards in the same zone, 1 for shards in the same region
// and 2 otherwise.
func distance(a, b ShardSummary) int {
	switch {
	case a.Zone == b.Zone && a.Region == b.Region:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// setScore returns a score by which sets of shards are compared; the lowest is
// best. It consists of the numbers of shards, of regions and of zones, and the
// negated free capacity after the waiting tasks.
func setScore(job work.Job, set []ShardSummary) []int64 {
	zones, regions := map[string]bool{}, map[string]bool{}
	room := int64(0)
	for _, s := range set {
		zones[s.Region+"\x00"+s.Zone], regions[s.Region] = true, true
		room += s.tasksFittingNow(job.Size) - s.Waiting
	}
	return []int64{int64(len(set)), int64(len(regions)), int64(len(zones)), -room}
}
