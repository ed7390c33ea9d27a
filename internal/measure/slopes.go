package measure

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// longTasks is the number of tasks of a job of long tasks.
	longTasks = 10
	// shortRun is how long a task of the start rate runs.
	shortRun = 200 * time.Millisecond
	// burstsPerSecond is the number of jobs a second that make the start rate.
	// The design size has few, large jobs.
	burstsPerSecond = 4
)

// slopes starts long tasks of all teams, in proportion to their limits, and
// keeps a rate of short tasks of the largest teams until ctx ends.
func (d *load) slopes(ctx context.Context) {
	size := resource.Vector{MilliCPU: 500, MemoryMiB: 512}
	for left := d.lab.o.Running; left > 0; left -= longTasks {
		d.submit(ctx, d.byLimit(), work.Normal, int32(min(left, longTasks)), size, time.Hour)
	}
	large := d.largest()
	perJob := d.lab.o.Rate / burstsPerSecond
	due, next := 0.0, 0
	d.everyTick(ctx, func() {
		for due += burstsPerSecond * tick.Seconds(); due >= 1 && perJob > 0; due-- {
			d.submit(ctx, large[next%len(large)], work.Normal, int32(perJob), size, shortRun)
			next++
		}
	})
}

// limit returns the processors of a team's limit.
func (d *load) limit(team string) int64 {
	limit := d.lab.contract.Limits[d.lab.contract.Teams[team].Limit]
	return limit.Units * limit.Unit.MilliCPU
}

// byLimit returns a random team, weighted by its limit.
func (d *load) byLimit() string {
	total := int64(0)
	for _, team := range d.teams {
		total += d.limit(team)
	}
	at := d.random.Int64N(max(total, 1))
	for _, team := range d.teams {
		if at -= d.limit(team); at < 0 {
			return team
		}
	}
	return d.teams[0]
}

// largest returns the teams with the highest limit.
func (d *load) largest() (out []string) {
	most := int64(-1)
	for _, team := range d.teams {
		switch l := d.limit(team); {
		case l > most:
			most, out = l, []string{team}
		case l == most:
			out = append(out, team)
		}
	}
	return out
}
