package scheduler

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const benchTeams = 68

// bench is an event-driven load on a simulated clock. Tasks end after their run
// time, and a new task arrives for each one that starts, so that the length of
// the queue stays the same.
type bench struct {
	s          *Scheduler
	rnd        func(int) int
	now        time.Duration
	m          *model
	jobs       map[work.JobID]work.Job
	lastID     int
	used       resource.Vector
	total      resource.Vector
	usedByTeam map[string]resource.Vector
	// schedulerTime is the time spent in Apply and Decide.
	schedulerTime time.Duration
	waits         []time.Duration
	starts        int
	running       int
	// cancelled counts cancelled tasks.
	cancelled int
	// runtime is the shortest run time; up to 8 s are added at random.
	runtime time.Duration
	// size returns a random size for a job.
	size func(rnd func(int) int) resource.Vector
}

func benchHosts(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = hostSpec(0)
		hosts[i].ID, hosts[i].Region = fmt.Sprintf("h%05d", i), fmt.Sprintf("r%d", i%3)
		hosts[i].Zone, hosts[i].Rack = fmt.Sprintf("z%d", i%7), fmt.Sprintf("k%d", i/7/8)
	}
	return hosts
}

func benchContract() Contract {
	c := Contract{Teams: map[string]Team{}, Limits: map[string]Limit{}, Policy: Policy{
		ShareWeight: 100, PackingWeight: 100, MaxWait: time.Minute,
	}}
	for i := range benchTeams {
		name := fmt.Sprintf("t%02d", i)
		c.Teams[name] = Team{Name: name, Weight: int64(1 + i%3), Limit: name}
		c.Limits[name] = Limit{Name: name, Units: 1 << 30, UnitName: "slot", Unit: resource.Vector{MilliCPU: 1000, MemoryMiB: 4096}}
	}
	return c
}

// benchSizes average 3.4 cores, so that 1,600 hosts hold about 7,500 tasks.
var benchSizes = []resource.Vector{
	{MilliCPU: 1000, MemoryMiB: 2048}, {MilliCPU: 2000, MemoryMiB: 8192}, {MilliCPU: 2000, MemoryMiB: 4096},
	{MilliCPU: 4000, MemoryMiB: 8192}, {MilliCPU: 4000, MemoryMiB: 16384}, {MilliCPU: 8000, MemoryMiB: 16384},
}

// benchLoads are the distributions of task sizes: six sizes, 2,400 sizes of
// which about 1,500 wait at a time, and a different size for nearly every job.
var benchLoads = []struct {
	name string
	size func(rnd func(int) int) resource.Vector
}{
	{"six", sixSizes},
	{"2400", func(rnd func(int) int) resource.Vector {
		return resource.Vector{MilliCPU: int64(500 + 50*rnd(60)), MemoryMiB: int64(1000 + 200*rnd(40))}
	}},
	{"any", func(rnd func(int) int) resource.Vector {
		return resource.Vector{MilliCPU: int64(500 + rnd(5800)), MemoryMiB: int64(1000 + rnd(15000))}
	}},
}

func sixSizes(rnd func(int) int) resource.Vector { return benchSizes[rnd(len(benchSizes))] }

func newBench(hosts, waiting int, seed uint64) *bench {
	return newBenchWithSizes(hosts, waiting, seed, sixSizes)
}

func newBenchWithSizes(hosts, waiting int, seed uint64, size func(func(int) int) resource.Vector) *bench {
	b := &bench{size: size, s: New(Options{}), rnd: newRandom(seed), runtime: 2 * time.Second, jobs: map[work.JobID]work.Job{}, usedByTeam: map[string]resource.Vector{}}
	b.m = newModel(Options{}, b.rnd)
	b.s.Apply(0, ContractChanged{Contract: benchContract()})
	units := map[string]int64{}
	for i := range benchTeams {
		units[fmt.Sprintf("t%02d", i)] = 1 << 30
	}
	b.s.Apply(0, AllotmentsChanged{Units: units})
	for _, h := range benchHosts(hosts) {
		b.s.Apply(0, HostChanged{Host: h})
		b.total = b.total.Add(h.Capacity)
	}
	for range waiting {
		b.add(work.Normal)
	}
	return b
}

func (b *bench) apply(ev Event) {
	t := time.Now()
	b.s.Apply(b.now, ev)
	b.schedulerTime += time.Since(t)
}

func (b *bench) add(c work.Class) {
	b.lastID++
	j := work.Job{
		ID: work.JobID(fmt.Sprintf("j%07d", b.lastID)), Team: fmt.Sprintf("t%02d", b.lastID%benchTeams), Class: c,
		Tasks: 1, Size: b.size(b.rnd), Idempotent: true, Lease: 10 * time.Second,
		Runtime: b.runtime + time.Duration(b.rnd(8000))*time.Millisecond, Template: fmt.Sprintf("p%d", b.rnd(50)),
	}
	b.jobs[j.ID] = j
	b.apply(JobAdded{Job: j, Count: 1})
}

// applyActions carries out the actions. On a checkpoint request, every other
// task saves its state and ends in 2 s; the others end only when killed, after
// 500 ms.
func (b *bench) applyActions(acts []Action, refill bool) {
	for _, a := range acts {
		switch a := a.(type) {
		case StartTask:
			j := b.jobs[a.Attempt.Task.Job]
			b.used, b.running, b.starts = b.used.Add(a.Size), b.running+1, b.starts+1
			b.usedByTeam[j.Team] = b.usedByTeam[j.Team].Add(a.Size)
			b.apply(TaskStarted{Attempt: a.Attempt, Host: a.Host})
			b.m.now = b.now
			b.m.schedule(j.Runtime, func() { b.end(a, work.Succeeded) })
			if a.Class == work.Urgent {
				b.waits = append(b.waits, a.Waited)
			} else if refill {
				b.add(work.Normal)
			}
		case EndTask:
			if a.Outcome == work.Cancelled {
				b.cancelled++
			}
		case StopTask:
			wait := 2 * time.Second
			switch {
			case a.Mode == StopKill:
				wait = 500 * time.Millisecond
			case a.Mode == StopThrottle || b.rnd(2) == 0:
				continue
			}
			b.m.now = b.now
			start := StartTask{Attempt: a.Attempt, Host: a.Host, Size: b.jobs[a.Attempt.Task.Job].Size}
			b.m.schedule(wait, func() { b.end(start, work.Stopped) })
		}
	}
}

func (b *bench) end(a StartTask, o work.Outcome) {
	if b.m.started[a.Attempt] {
		return
	}
	b.m.started[a.Attempt] = true
	b.used, b.running = b.used.Sub(a.Size), b.running-1
	team := b.jobs[a.Attempt.Task.Job].Team
	b.usedByTeam[team] = b.usedByTeam[team].Sub(a.Size)
	b.apply(TaskEnded{Attempt: a.Attempt, Host: a.Host, Outcome: o, Ran: b.jobs[a.Attempt.Task.Job].Runtime, Peak: a.Size})
}

// step advances the clock by d and runs the events that are due.
func (b *bench) step(d time.Duration) {
	b.now += d
	for len(b.m.queue) > 0 && b.m.queue[0].at <= b.now {
		b.m.pop().do()
	}
}

func (b *bench) warmUp(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.applyActions(b.s.Decide(b.now), true)
		b.step(10 * time.Millisecond)
	}
}

func (b *bench) packing() float64 {
	return 100 * max(float64(b.used.MilliCPU)/float64(b.total.MilliCPU), float64(b.used.MemoryMiB)/float64(b.total.MemoryMiB))
}

// BenchmarkPlacement measures decisions on a full cluster with a queue of
// 20,000 tasks. One operation is 10 ms of the simulated clock. us/placement is
// the time of all events and decisions divided by the starts; p99 is that of
// one Decide.
func BenchmarkPlacement(bm *testing.B) {
	for _, load := range benchLoads {
		for _, hosts := range []int{50, 400, 1600} {
			bm.Run(fmt.Sprintf("sizes=%s/hosts=%d", load.name, hosts), func(bm *testing.B) {
				b := newBenchWithSizes(hosts, 20000, 1, load.size)
				b.warmUp(20 * time.Second)
				b.measure(bm, nil)
			})
		}
	}
}

// measure runs the load. It calls before, if set, ahead of each Decide.
func (b *bench) measure(bm *testing.B, before func()) {
	var decideTimes []time.Duration
	var bytes uint64
	b.schedulerTime, b.starts = 0, 0
	first, last := runtime.MemStats{}, runtime.MemStats{}
	for bm.Loop() {
		if before != nil {
			before()
		}
		runtime.ReadMemStats(&first)
		t := time.Now()
		acts := b.s.Decide(b.now)
		decideTimes = append(decideTimes, time.Since(t))
		runtime.ReadMemStats(&last)
		b.schedulerTime += decideTimes[len(decideTimes)-1]
		bytes += last.TotalAlloc - first.TotalAlloc
		b.applyActions(acts, true)
		b.step(10 * time.Millisecond)
	}
	n := float64(max(b.starts, 1))
	slices.Sort(decideTimes)
	bm.ReportMetric(float64(b.schedulerTime.Nanoseconds())/1000/n, "us/placement")
	bm.ReportMetric(float64(decideTimes[len(decideTimes)*99/100].Microseconds()), "p99-us/decide")
	bm.ReportMetric(float64(decideTimes[len(decideTimes)-1].Microseconds()), "max-us/decide")
	bm.ReportMetric(float64(bytes)/n, "B/placement")
	bm.ReportMetric(b.packing(), "packing-%")
	bm.ReportMetric(float64(b.running), "running")
}

// BenchmarkState measures the heap of a scheduler with 20,000 waiting and about
// 7,500 running tasks. The job list of the benchmark itself is included.
func BenchmarkState(bm *testing.B) {
	for bm.Loop() {
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.GC()
		runtime.ReadMemStats(&before)
		b := newBench(1600, 27500, 1)
		b.applyActions(b.s.Decide(b.now), false)
		for range 20 {
			b.step(time.Millisecond)
			b.applyActions(b.s.Decide(b.now), false)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		bm.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		bm.ReportMetric(float64(b.s.Summary().Waiting), "waiting")
		bm.ReportMetric(float64(b.s.Summary().Running), "running")
		runtime.KeepAlive(b)
	}
}

// BenchmarkUrgent measures the waiting time of urgent tasks, in simulated
// clock, on a full cluster where no other task ends by itself. A hundred urgent
// tasks arrive each second.
func BenchmarkUrgent(bm *testing.B) {
	for bm.Loop() {
		b := newBench(1600, 0, 1)
		b.runtime = time.Hour
		for range 20000 {
			b.add(work.Normal)
		}
		b.warmUp(10 * time.Second)
		for range 100 {
			for range 10 {
				b.add(work.Urgent)
			}
			b.warmUp(100 * time.Millisecond)
		}
		for end := b.now + 10*time.Second; b.now < end; {
			b.warmUp(100 * time.Millisecond)
		}
		slices.Sort(b.waits)
		bm.ReportMetric(float64(len(b.waits)), "started")
		bm.ReportMetric(b.waits[len(b.waits)/2].Seconds(), "p50-s")
		bm.ReportMetric(b.waits[len(b.waits)*99/100].Seconds(), "p99-s")
	}
}
