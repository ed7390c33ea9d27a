package schedule

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// loadReplay replays the load of a cell with 20 teams that is 89 % full: lookups, wide gangs
// and reconciliations, of which the gangs need half of the room.
type loadReplay struct {
	*cluster
	// burstTeam sends burst times its usual load from burstFrom until burstUntil.
	burstTeam             string
	burst                 float64
	burstFrom, burstUntil time.Duration
	// load is the offered part of the capacity.
	load float64
	// even is set if each team sends as much as the one of the highest weight, all together
	// load times the capacity.
	even bool
	// admits decides whether a submission is accepted; nil for all.
	admits func(s *cell.Submission) bool
	// observe is called after each decision.
	observe func()

	// parts are the parts of the kinds in the load.
	parts []float64

	begun   time.Duration
	sources []*rand.Rand
	extra   *rand.Rand
	arrived map[string]time.Duration
	// latest is when a submission is of no use any more.
	latest map[string]time.Duration
	ended  map[string]time.Duration
	// open holds the accepted submissions that have not ended.
	open map[string]bool
	sent map[string][]string
}

const (
	replayTeams = 20
	// burstingTeam is the team that sends the burst, the largest one.
	burstingTeam = 11
	// replayRateFactor times its usual rate is what a team is entitled to send, so that the
	// burst is not beyond the rate of its team: nothing but shares holds it back.
	replayRateFactor = 10
	replayHosts      = 140
	replayCores      = 64
	adviceNodes      = 14 // nodes that call the advice service
	replayStep       = 50 * time.Millisecond
)

// teamWorkKind is one kind of submission of the load.
type teamWorkKind struct {
	queue    string
	step     cell.Step
	share    float64 // of the load, unless loadReplay.parts says otherwise
	spread   float64 // of the run times, as a factor
	approved uint32  // percent of the hosts
}

var teamWorkKinds = []teamWorkKind{
	{"lookups", cell.Step{Count: 3, Size: resource.Vector{MilliCPU: 8000, MemoryMiB: 1000}, Estimate: 600 * time.Millisecond}, 0.15, 1.5, 70},
	{"bundles", cell.Step{Count: 10, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 4000}, Estimate: 5 * time.Second}, 0.5, 1.2, 35},
	{"reconciliations", cell.Step{Count: 10, Size: resource.Vector{MilliCPU: 6900, MemoryMiB: 2000}, Estimate: 2 * time.Second}, 0.35, 1.9, 45},
}

func replayTeam(i int) string { return fmt.Sprintf("t%02d", i) }

// replayWeight returns the weight of a team, which is also its part of the load.
func replayWeight(i int) float64 {
	if i == burstingTeam {
		return 10
	}
	return float64(1 + i%4)
}

func newLoadReplay(seed uint64, f Features) *loadReplay {
	r := &loadReplay{
		cluster: newCluster(replayHosts, resource.Vector{MilliCPU: replayCores * 1000, MemoryMiB: 256_000}), load: 0.89, burst: 1, burstTeam: replayTeam(burstingTeam),
		burstFrom: 8 * time.Second, burstUntil: 15 * time.Second,
		arrived: map[string]time.Duration{}, latest: map[string]time.Duration{}, ended: map[string]time.Duration{}, open: map[string]bool{}, sent: map[string][]string{},
	}
	r.s.options.Features = f
	r.begun, r.adviceTakesTime = r.now, true
	r.extra = rand.New(rand.NewPCG(seed, 1000))
	r.teams = map[string]cell.Team{}
	for i := range replayTeams {
		r.sources = append(r.sources, rand.New(rand.NewPCG(seed, uint64(i))))
		r.teams[replayTeam(i)] = cell.Team{Name: replayTeam(i), Weight: replayRateFactor * r.rate(i)}
	}
	r.approves = func(g cell.GroupID, host string) bool {
		return hashOf(g.Submission, host)%100 < r.kind(g.Submission).approved
	}
	r.takes = func(t cell.TaskID, estimate time.Duration) time.Duration {
		u := 2*float64(hashOf(t.Submission, fmt.Sprint(t.Index))%1000)/999 - 1
		return time.Duration(float64(estimate) * math.Pow(r.kind(t.Submission).spread, u))
	}
	r.queue(cell.Queue{Name: "lookups", Priority: 0, Stretch: 2, Latency: 500 * time.Millisecond, Advice: replayPolicy(20, 500)})
	r.queue(cell.Queue{Name: "bundles", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: replayPolicy(559, 8060)})
	r.queue(cell.Queue{Name: "reconciliations", Priority: 2, Stretch: 3, Latency: 3 * time.Second, Advice: replayPolicy(200, 3000)})
	return r
}

func replayPolicy(decisionMs, perHostUs int) *cell.AdvicePolicy {
	return &cell.AdvicePolicy{
		Decision: time.Duration(decisionMs) * time.Millisecond, PerHost: time.Duration(perHostUs) * time.Microsecond, Validity: 2500 * time.Millisecond,
	}
}

func hashOf(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
	}
	return h.Sum32()
}

// kind returns the kind of a submission, whose number its ID begins with.
func (r *loadReplay) kind(id string) teamWorkKind { return teamWorkKinds[id[0]-'0'] }

// cost returns the core-seconds of a submission of a kind.
func (k teamWorkKind) cost() float64 {
	return float64(k.step.Count) * float64(k.step.Size.MilliCPU) / 1000 * k.step.Estimate.Seconds()
}

// rate returns how many submissions a team usually sends in a second.
func (r *loadReplay) rate(team int) (n float64) {
	for k := range teamWorkKinds {
		n += r.rateOf(team, k)
	}
	return n
}

func (r *loadReplay) rateOf(team, kind int) float64 {
	total := 0.0
	for i := range replayTeams {
		total += replayWeight(i)
	}
	k, part := teamWorkKinds[kind], replayWeight(team)/total
	if r.parts != nil {
		k.share = r.parts[kind]
	}
	if r.even {
		part = 1.0 / replayTeams
	}
	return r.load * replayHosts * replayCores * k.share / k.cost() * part
}

// run replays the load for a time, and then goes on without new work for another.
func (r *loadReplay) run(sending, ending time.Duration) {
	for at := time.Duration(0); at < sending+ending; at += replayStep {
		for i := range replayTeams {
			if at < sending {
				r.arrivals(at, i)
			}
		}
		inFlight := len(r.calls)
		r.s.SetAdviceRoom(cell.AdviceRoom{Short: max(2*adviceNodes-inFlight, 0), Long: max(adviceNodes-inFlight, 0), LongFrom: 150 * time.Millisecond})
		r.advance(replayStep)
		r.s.TakeLogMessages()
		for id := range r.open {
			if r.state[id] == cell.Completed {
				r.ended[id] = r.now
				delete(r.open, id)
			}
		}
		if r.observe != nil {
			r.observe()
		}
	}
}

func (r *loadReplay) arrivals(at time.Duration, team int) {
	for kind := range teamWorkKinds {
		mean := r.rateOf(team, kind) * replayStep.Seconds()
		for range poisson(r.sources[team], mean) {
			r.send(team, kind, "")
		}
		if replayTeam(team) == r.burstTeam && r.burst > 1 && at >= r.burstFrom && at < r.burstUntil {
			for range poisson(r.extra, mean*(r.burst-1)) {
				r.send(team, kind, "x")
			}
		}
	}
}

// send submits one submission. Its ID does not depend on what else is sent, so that a load has
// the same run times and approvals with and without a burst.
func (r *loadReplay) send(team, kind int, extra string) {
	name, k := replayTeam(team), teamWorkKinds[kind]
	id := fmt.Sprintf("%d-%s-%s%d", kind, name, extra, len(r.sent[name+extra]))
	r.sent[name+extra] = append(r.sent[name+extra], id)
	sub := &cell.Submission{ID: id, Team: name, Queue: r.queues[k.queue], Steps: []cell.Step{k.step}, Received: r.now}
	if r.admits != nil && !r.admits(sub) {
		return
	}
	r.jobs[id] = sub
	r.s.Add(sub, cell.Progress{}, false, r.now, r.wall())
	j := r.s.jobs[id]
	r.open[id] = true
	r.arrived[id], r.latest[id] = r.now, j.arrived+tooLateFactor*(j.due-j.arrived)
}

// poisson returns how many events happen in a time in which mean ones are expected.
func poisson(r *rand.Rand, mean float64) (n int) {
	for {
		if mean += math.Log(r.Float64()); mean < 0 {
			return n
		}
		n++
	}
}
