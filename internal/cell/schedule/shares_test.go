package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// burstResult is what each team and kind of the other teams gets in time without and with a
// burst of one team.
type burstResult struct {
	calm, burst       map[string]*servedPart
	kinds, burstKinds [3]servedPart
}

// servedPart counts submissions and those of them that ended when they were still of use.
type servedPart struct{ all, inTime int }

func (p *servedPart) add(r *loadReplay, id string) {
	p.all++
	if at, ok := r.ended[id]; ok && at <= r.latest[id] {
		p.inTime++
	}
}

func (p *servedPart) part() float64 { return float64(p.inTime) / float64(max(p.all, 1)) }

// replayBursts replays the load without and with the burst, for several seeds.
func replayBursts(t *testing.T, seeds uint64, f Features) *burstResult {
	res := &burstResult{calm: map[string]*servedPart{}, burst: map[string]*servedPart{}}
	for seed := range seeds {
		for _, factor := range []float64{1, 7} {
			r := newLoadReplay(seed, f)
			r.burst = factor
			r.run(30*time.Second, 15*time.Second)
			for _, v := range r.violations {
				t.Error(v)
			}
			res.add(r, factor > 1)
		}
	}
	return res
}

func (b *burstResult) add(r *loadReplay, burst bool) {
	teams, kinds := b.calm, &b.kinds
	if burst {
		teams, kinds = b.burst, &b.burstKinds
	}
	for i := range replayTeams {
		name := replayTeam(i)
		if teams[name] == nil {
			teams[name] = &servedPart{}
		}
		for _, id := range r.sent[name] {
			teams[name].add(r, id)
			if name != r.burstTeam {
				kinds[id[0]-'0'].add(r, id)
			}
		}
	}
}

// worstLoss returns the team that loses most by the burst of another one.
func (b *burstResult) worstLoss() (worst float64, team string) {
	for i := range replayTeams {
		if name := replayTeam(i); i != burstingTeam {
			if d := b.calm[name].part() - b.burst[name].part(); d > worst {
				worst, team = d, name
			}
		}
	}
	return worst, team
}

// Guards against a burst of one team that takes the room of the in-time work of the others.
func TestBurstOfOneTeamLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	results := map[bool]*burstResult{}
	for _, on := range []bool{false, true} {
		r := replayBursts(t, 2, Features{FairShares: on})
		results[on] = r
		worst, team := r.worstLoss()
		t.Logf("shares %v: team %s loses most by the burst, %.3f", on, team, worst)
		for k, kind := range teamWorkKinds {
			t.Logf("shares %v: %s of the others in time: %.3f, with the burst %.3f", on, kind.queue, r.kinds[k].part(), r.burstKinds[k].part())
		}
	}
	if worst, team := results[true].worstLoss(); worst >= 0.05 {
		t.Errorf("with shares, team %s loses %.3f of its work by the burst of another one", team, worst)
	}
	for k, kind := range teamWorkKinds {
		if without, with := results[false].burstKinds[k].part(), results[true].burstKinds[k].part(); with < without-0.01 {
			t.Errorf("with shares, %.3f of the %s of the others are in time, without them %.3f", with, kind.queue, without)
		}
	}
}

// worstShare replays a load of which each team sends more than its share, and returns by which
// part of its share the use of a team differs most from it 30 s to 45 s after the start.
func worstShare(f Features) (worst float64) {
	r := newLoadReplay(1, f)
	r.even, r.load, r.parts = true, 2.2, []float64{0.1, 0, 0.9}
	weight := func(i int) float64 { return float64(1 + i%4) }
	for i := range replayTeams {
		r.teams[replayTeam(i)] = cell.Team{Name: replayTeam(i), Weight: replayRateFactor * weight(i)}
	}
	for _, q := range r.queues {
		q.Advice = nil
		r.queue(q)
	}
	used, total, weights := make([]float64, replayTeams), 0.0, 0.0
	r.observe = func() {
		if r.now < r.begun+30*time.Second {
			return
		}
		for i := range replayTeams {
			u := float64(r.s.teams[replayTeam(i)].used.MilliCPU)
			used[i], total = used[i]+u, total+u
		}
	}
	r.run(45*time.Second, 0)
	for i := range replayTeams {
		weights += weight(i)
	}
	for i := range replayTeams {
		worst = max(worst, math.Abs(used[i]/total/(weight(i)/weights)-1))
	}
	return worst
}

// Guards against shares of use that do not follow the weights while all teams have more work
// than room.
func TestSharesOfUseFollowTheWeights(t *testing.T) {
	t.Parallel()
	worst := worstShare(Features{FairShares: true}) // without shares it is 3.4
	t.Logf("largest difference of the use of a team from its share, as a part of the share: %.3f", worst)
	if worst > 0.05 {
		t.Errorf("the use of a team differs from its share by %.3f of the share", worst)
	}
}

// Guards against shares that do not settle while teams have gangs, one of which is wider than 5 %
// of what a small team may use in the time: the use of each team is within one gang of its share.
func TestSharesOfUseWithGangsAreWithinOneGang(t *testing.T) {
	t.Parallel()
	const from, until = 30 * time.Second, 45 * time.Second
	r := newLoadReplay(1, Features{FairShares: true})
	r.even, r.load = true, 2.2
	weight := func(i int) float64 { return float64(1 + i%4) }
	weights := 0.0
	for i := range replayTeams {
		r.teams[replayTeam(i)] = cell.Team{Name: replayTeam(i), Weight: replayRateFactor * weight(i)}
		weights += weight(i)
	}
	r.publish()
	used, total := make([]float64, replayTeams), 0.0
	last := r.begun + from
	r.observe = func() {
		if r.now < last {
			return
		}
		for i := range replayTeams {
			u := float64(r.s.teams[replayTeam(i)].used.MilliCPU) / 1000 * (r.now - last).Seconds()
			used[i], total = used[i]+u, total+u
		}
		last = r.now
	}
	r.run(until, 0)
	gang := teamWorkKinds[1]
	most := float64(gang.step.Size.MilliCPU) / 1000 * float64(gang.step.Count) * gang.step.Estimate.Seconds() * gang.spread
	for i := range replayTeams {
		share := total * weight(i) / weights
		if d := math.Abs(used[i] - share); d > max(most, 0.05*share) {
			t.Errorf("%s has used %.0f core-seconds of its %.0f; one gang takes %.0f", replayTeam(i), used[i], share, most)
		}
	}
}
