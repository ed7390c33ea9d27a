package measure

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// sampleEvery is the interval of samples of the workers' journal.
const sampleEvery = 100 * time.Millisecond

// sample is the state of the fleet at one time.
type sample struct {
	at    time.Duration
	used  resource.Vector
	teams map[string]resource.Vector
	// waiting and waitingTeams count submitted tasks without a start.
	waiting      int
	waitingTeams map[string]int
}

// samplesOf replays the journal between two times.
func samplesOf(jobs map[work.JobID]*submitted, executions []standin.Execution, from, to time.Duration) []sample {
	var out []sample
	for at := from; at < to; at += sampleEvery {
		s := sample{at: at, teams: map[string]resource.Vector{}, waitingTeams: map[string]int{}}
		started := map[work.TaskID]bool{}
		for _, e := range executions {
			j := jobs[e.Attempt.Task.Job]
			if j == nil || e.Start > at {
				continue
			}
			started[e.Attempt.Task] = true
			if !e.Ended || e.End > at {
				s.used = s.used.Add(e.Size)
				s.teams[j.spec.Team] = s.teams[j.spec.Team].Add(e.Size)
			}
		}
		for _, j := range jobs {
			if j.accepted && j.at <= at {
				s.waitingTeams[j.spec.Team] += int(j.spec.Tasks)
				s.waiting += int(j.spec.Tasks)
			}
		}
		for task := range started {
			s.waitingTeams[jobs[task.Job].spec.Team]--
			s.waiting--
		}
		out = append(out, s)
	}
	return out
}

// packing returns the use of the resource with the highest use over the samples
// at which a queue waited. capacity is what the live workers hold at a time.
func packing(samples []sample, capacity func(time.Duration) resource.Vector) *Packing {
	names := [resource.Dimensions]string{"milli_cpu", "memory_mib", "accelerators"}
	var used, held [resource.Dimensions]float64
	p := &Packing{}
	for _, s := range samples {
		if s.waiting <= 0 {
			continue
		}
		p.Samples++
		total := capacity(s.at)
		for i := range resource.Dimensions {
			used[i] += float64(s.used.At(i))
			held[i] += float64(total.At(i))
		}
	}
	for i := range resource.Dimensions {
		if held[i] > 0 && 100*used[i]/held[i] > p.Percent {
			p.Percent, p.Resource = 100*used[i]/held[i], names[i]
		}
	}
	return p
}

// shares compares the mean dominant use of each team with its weighted max-min
// entitlement. A team with waiting tasks wants up to its limit; another one
// wants what it uses.
func (l *lab) shares(teams []string, samples []sample, capacity func(time.Duration) resource.Vector) []Share {
	out := make([]Share, len(teams))
	weights := make([]int64, len(teams))
	for i, team := range teams {
		out[i].Team, weights[i] = team, l.contract.Teams[team].Weight
	}
	for _, s := range samples {
		total := capacity(s.at)
		demands := make([]int64, len(teams))
		for i, team := range teams {
			demands[i] = fairshare.Dominant(s.teams[team], total)
			out[i].Used += percent(demands[i]) / float64(len(samples))
			if s.waitingTeams[team] > 0 {
				limit := l.contract.Limits[l.contract.Teams[team].Limit]
				demands[i] = min(fairshare.One, fairshare.Dominant(limit.Unit.Scale(limit.Units), total))
			}
		}
		for i, e := range fairshare.Entitled(weights, demands) {
			out[i].Entitled += percent(e) / float64(len(samples))
		}
	}
	for i := range out {
		if out[i].Entitled > 0 {
			out[i].Off = 100 * (out[i].Used - out[i].Entitled) / out[i].Entitled
		}
	}
	return out
}

func percent(partsPerMillion int64) float64 { return float64(partsPerMillion) / fairshare.One * 100 }

// points returns the samples for a plot.
func points(samples []sample, capacity func(time.Duration) resource.Vector) (out []point) {
	for _, s := range samples {
		total := capacity(s.at)
		p := point{at: s.at.Seconds(), used: percent(fairshare.Dominant(s.used, total)), teams: map[string]float64{}}
		for team, used := range s.teams {
			p.teams[team] = percent(fairshare.Dominant(used, total))
		}
		out = append(out, p)
	}
	return out
}
