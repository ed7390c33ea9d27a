package measure

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// sampleInterval is the interval at which the workers' journal is sampled.
const sampleInterval = 100 * time.Millisecond

// sample is the use of the fleet and its queue at one time.
type sample struct {
	at    time.Duration
	used  resource.Vector
	teams map[string]resource.Vector
	// waiting and waitingTeams count accepted tasks that have not started.
	waiting      int
	waitingTeams map[string]int
}

// samplesOf samples the journal of the workers between two times.
func samplesOf(jobs map[work.JobID]*submittedJob, executions []standin.Execution, from, to time.Duration) []sample {
	var out []sample
	for at := from; at < to; at += sampleInterval {
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

// packing returns the utilization of the resource with the highest utilization,
// over the samples in which tasks were waiting. capacity returns the capacity of
// the live workers at a time.
func packing(samples []sample, capacity func(time.Duration) resource.Vector) *Packing {
	names := [resource.Dimensions]string{"milli_cpu", "memory_mib", "accelerators"}
	var used, available [resource.Dimensions]float64
	p := &Packing{}
	for _, s := range samples {
		if s.waiting <= 0 {
			continue
		}
		p.Samples++
		total := capacity(s.at)
		for i := range resource.Dimensions {
			used[i] += float64(s.used.At(i))
			available[i] += float64(total.At(i))
		}
	}
	for i := range resource.Dimensions {
		if available[i] > 0 && 100*used[i]/available[i] > p.Percent {
			p.Percent, p.Resource = 100*used[i]/available[i], names[i]
		}
	}
	return p
}

// shares compares the mean dominant use of each team with its entitlement under
// weighted max-min fairness. The demand of a team with waiting tasks is its limit;
// the demand of any other team is its use.
func (tb *testbed) shares(teams []string, samples []sample, capacity func(time.Duration) resource.Vector) []Share {
	out := make([]Share, len(teams))
	weights := make([]int64, len(teams))
	for i, team := range teams {
		out[i].Team, weights[i] = team, tb.contract.Teams[team].Weight
	}
	for _, s := range samples {
		total := capacity(s.at)
		demands := make([]int64, len(teams))
		for i, team := range teams {
			demands[i] = fairshare.DominantShare(s.teams[team], total)
			out[i].Used += percent(demands[i]) / float64(len(samples))
			if s.waitingTeams[team] > 0 {
				limit := tb.contract.Limits[tb.contract.Teams[team].Limit]
				demands[i] = min(fairshare.FullShare, fairshare.DominantShare(limit.Unit.Scale(limit.Units), total))
			}
		}
		for i, e := range fairshare.EntitledShares(weights, demands) {
			out[i].Entitled += percent(e) / float64(len(samples))
		}
	}
	for i := range out {
		if out[i].Entitled > 0 {
			out[i].Deviation = 100 * (out[i].Used - out[i].Entitled) / out[i].Entitled
		}
	}
	return out
}

func percent(partsPerMillion int64) float64 {
	return float64(partsPerMillion) / fairshare.FullShare * 100
}

// plotPoints converts samples to points of the plots.
func plotPoints(samples []sample, capacity func(time.Duration) resource.Vector) (out []plotPoint) {
	for _, s := range samples {
		total := capacity(s.at)
		p := plotPoint{at: s.at.Seconds(), used: percent(fairshare.DominantShare(s.used, total)), teams: map[string]float64{}}
		for team, used := range s.teams {
			p.teams[team] = percent(fairshare.DominantShare(used, total))
		}
		out = append(out, p)
	}
	return out
}
