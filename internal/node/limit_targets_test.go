package node

import (
	"slices"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/homing"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// targetNames returns the names of the shards to which tasks may move from a shard.
func targetNames(from string, demand map[string][]*peerv1.TeamDemand, units int64) (names []string) {
	shards := []homing.ShardSummary{{Name: "unknown"}}
	for name := range demand {
		shards = append(shards, homing.ShardSummary{Name: name})
	}
	for _, s := range limitTargets(from, shards, demand, "l", units) {
		names = append(names, s.Name)
	}
	slices.Sort(names)
	return names
}

// Guards against moves of tasks that wait for a limit to shards that lack its
// units as well: such tasks moved on and on, and no shard got enough units.
func TestLimitTargetsHaveFreeUnits(t *testing.T) {
	got := targetNames("from", map[string][]*peerv1.TeamDemand{
		"from":        {{Limit: "l", Allotted: 4, Waiting: 8}},
		"enough":      {{Limit: "other", Allotted: 1}, {Limit: "l", Allotted: 20, Used: 5, Waiting: 7}},
		"few":         {{Limit: "l", Allotted: 7}},
		"claimed":     {{Limit: "l", Allotted: 20, Waiting: 13}},
		"other limit": {{Limit: "other", Allotted: 20}},
	}, 8)
	if !slices.Equal(got, []string{"enough"}) {
		t.Errorf("targets %q", got)
	}
}

// Guards against two shards that keep their units from each other, although
// neither has enough for one start.
func TestCompetingShardsGatherTheirTasks(t *testing.T) {
	demand := map[string][]*peerv1.TeamDemand{
		"a": {{Limit: "l", Allotted: 4, Waiting: 8}}, "b": {{Limit: "l", Allotted: 4, Waiting: 8}},
		"more": {{Limit: "l", Allotted: 5, Waiting: 8}}, "idle": {{Limit: "l", Allotted: 5}},
	}
	for from, want := range map[string][]string{"a": {"more"}, "b": {"a", "more"}, "more": nil} {
		if got := targetNames(from, demand, 8); !slices.Equal(got, want) {
			t.Errorf("from %s: targets %q, want %q", from, got, want)
		}
	}
	if got := targetNames("b", demand, 4); !slices.Equal(got, []string{"idle"}) {
		t.Errorf("a start that the own units suffice for: targets %q", got)
	}
}
