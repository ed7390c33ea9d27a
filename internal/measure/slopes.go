package measure

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// tasksPerLongJob is the number of tasks of a job with long tasks.
	tasksPerLongJob = 10
	// shortTaskDuration is the run time of the short tasks that make up the start
	// rate.
	shortTaskDuration = 200 * time.Millisecond
	// shortJobsPerSecond is the number of jobs with short tasks that are submitted
	// per second. It is low because the design size has few, large jobs.
	shortJobsPerSecond = 4
)

// longAndShortTasks submits long tasks of random teams, in proportion to their
// limits, and then short tasks of the teams with the highest limit at a fixed rate
// until ctx ends.
func (d *load) longAndShortTasks(ctx context.Context) {
	size := resource.Vector{MilliCPU: 500, MemoryMiB: 512}
	for left := d.testbed.o.Running; left > 0; left -= tasksPerLongJob {
		d.submit(ctx, d.randomTeam(), work.Normal, int32(min(left, tasksPerLongJob)), size, time.Hour)
	}
	large := d.teamsWithHighestLimit()
	tasksPerShortJob := d.testbed.o.Rate / shortJobsPerSecond
	due, next := 0.0, 0
	d.everyTick(ctx, func() {
		for due += shortJobsPerSecond * tickInterval.Seconds(); due >= 1 && tasksPerShortJob > 0; due-- {
			d.submit(ctx, large[next%len(large)], work.Normal, int32(tasksPerShortJob), size, shortTaskDuration)
			next++
		}
	})
}

// limitMilliCPU returns the CPU of a team's limit, in thousandths of a core.
func (d *load) limitMilliCPU(team string) int64 {
	limit := d.testbed.contract.Limits[d.testbed.contract.Teams[team].Limit]
	return limit.Units * limit.Unit.MilliCPU
}

// randomTeam returns a random team, weighted by the CPU of its limit.
func (d *load) randomTeam() string {
	total := int64(0)
	for _, team := range d.teams {
		total += d.limitMilliCPU(team)
	}
	at := d.random.Int64N(max(total, 1))
	for _, team := range d.teams {
		if at -= d.limitMilliCPU(team); at < 0 {
			return team
		}
	}
	return d.teams[0]
}

// teamsWithHighestLimit returns the teams that share the highest limit.
func (d *load) teamsWithHighestLimit() (out []string) {
	most := int64(-1)
	for _, team := range d.teams {
		switch l := d.limitMilliCPU(team); {
		case l > most:
			most, out = l, []string{team}
		case l == most:
			out = append(out, team)
		}
	}
	return out
}
