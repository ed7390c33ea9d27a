package homing

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

func drawShards(t *rapid.T) []ShardSummary {
	var shards []ShardSummary
	for i := range rapid.IntRange(1, 8).Draw(t, "shards") {
		hosts := rapid.Int64Range(0, 10).Draw(t, "hosts")
		host := resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}
		free := rapid.Int64Range(0, 100).Draw(t, "free percent")
		shards = append(shards, ShardSummary{
			Name: fmt.Sprintf("zone%d/%d", i%3, i), Zone: fmt.Sprintf("zone%d", i%3), Owned: true,
			Capacity: host.Scale(hosts), LargestHost: host.Scale(min(hosts, 1)),
			Free:        resource.Vector{MilliCPU: host.MilliCPU * hosts * free / 100, MemoryMiB: host.MemoryMiB * hosts},
			LargestFree: host.Scale(min(hosts, 1)), Waiting: rapid.Int64Range(0, 50).Draw(t, "waiting"),
		})
	}
	return shards
}

// Guards against tasks that get no home shard, two home shards, or one without a
// host that is large enough.
func TestPlanCoversEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := drawShards(t)
		job := work.Job{
			ID: "j", Kind: rapid.SampledFrom([]work.Kind{work.Batch, work.Service, work.Gang}).Draw(t, "kind"),
			Tasks: rapid.Int32Range(1, 300).Draw(t, "tasks"),
			Size:  resource.Vector{MilliCPU: rapid.Int64Range(1, 20000).Draw(t, "cpu"), MemoryMiB: 1024},
		}
		plan, err := Plan(job, shards)
		if err != nil {
			if verdict.Of(err) != verdict.DidNotRun {
				t.Fatalf("refusal says %s", verdict.Of(err))
			}
			return
		}
		next := int32(0)
		for _, p := range plan {
			if p.First != next || p.Count <= 0 {
				t.Fatalf("part %+v, want first %d", p, next)
			}
			next += p.Count
			for _, s := range shards {
				if s.Name == p.Shard && !job.Size.Fits(s.LargestHost) {
					t.Fatalf("%s can never hold %s", s.Name, job.Size)
				}
			}
		}
		if next != job.Tasks {
			t.Fatalf("%d of %d tasks have a home", next, job.Tasks)
		}
		if job.Kind == work.Gang {
			checkGang(t, job, shards, plan)
		}
	})
}

// checkGang checks that a gang is split over the smallest possible number of
// shards, and that each of them can hold its part.
func checkGang(t *rapid.T, job work.Job, shards []ShardSummary, plan []Part) {
	totals := []int64{}
	for _, s := range shards {
		total := s.tasksFittingEmpty(job.Size)
		totals = append(totals, total)
		for _, p := range plan {
			if p.Shard == s.Name && int64(p.Count) > total {
				t.Fatalf("%s holds %d tasks, its part has %d", s.Name, total, p.Count)
			}
		}
	}
	slices.SortFunc(totals, func(a, b int64) int { return int(b - a) })
	fewest, left := 0, int64(job.Tasks)
	for left > 0 {
		left -= totals[fewest]
		fewest++
	}
	if len(plan) > fewest {
		t.Fatalf("gang has %d homes, %d would do", len(plan), fewest)
	}
}

// Guards against a gang that is refused although the shards together can hold it,
// and against one that is accepted although they cannot.
func TestGangIsRefusedOnlyIfAllShardsAreTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := drawShards(t)
		job := work.Job{ID: "j", Kind: work.Gang, Tasks: rapid.Int32Range(1, 300).Draw(t, "tasks"),
			Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 1024}}
		all := int64(0)
		for _, s := range shards {
			all += s.tasksFittingEmpty(job.Size)
		}
		if _, err := Plan(job, shards); (err == nil) != (all >= int64(job.Tasks)) {
			t.Fatalf("shards hold %d tasks, gang has %d: %v", all, job.Tasks, err)
		}
	})
}

// Guards against a gang that is spread over several zones although one zone can
// hold it.
func TestSpanningGangStaysInOneZone(t *testing.T) {
	host := resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}
	var shards []ShardSummary
	for i := range 6 {
		shards = append(shards, ShardSummary{Name: fmt.Sprintf("%c/%d", 'a'+i%3, i), Zone: string(rune('a' + i%3)), Owned: true,
			Capacity: host.Scale(4), Free: host.Scale(4), LargestFree: host, LargestHost: host})
	}
	plan, err := Plan(work.Job{Kind: work.Gang, Tasks: 30, Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 512}}, shards)
	if err != nil || len(plan) != 2 || plan[0].Shard[0] != plan[1].Shard[0] {
		t.Fatalf("plan %+v, error %v", plan, err)
	}
}

// Guards against replicas of a service that share a zone while another zone has free
// capacity.
func TestServiceSpreadsOverZones(t *testing.T) {
	host := resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}
	var shards []ShardSummary
	for _, zone := range []string{"a", "b", "c"} {
		shards = append(shards, ShardSummary{Name: zone + "/0", Zone: zone, Owned: true, Capacity: host.Scale(4),
			Free: host.Scale(4), LargestFree: host, LargestHost: host})
	}
	plan, err := Plan(work.Job{Kind: work.Service, Tasks: 6, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 512}}, shards)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range plan {
		if p.Count != 2 {
			t.Fatalf("%s has %d replicas, want 2: %+v", p.Shard, p.Count, plan)
		}
	}
}
