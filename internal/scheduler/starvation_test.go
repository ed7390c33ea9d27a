package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// TestNoStarvation guards against large tasks and gangs that never start
// because an endless stream of small tasks fills every gap. The bound for one
// job is MaxWait, plus 1 s until the next check of aged jobs, plus the longest
// run time of the tasks that its reservation drains, plus the steps of the
// test.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxWait, longest = 5 * time.Second, 4 * time.Second
		sc := scenario{
			seed: rapid.Uint64().Draw(t, "seed"), hosts: rapid.IntRange(2, 8).Draw(t, "hosts"),
			policy: Policy{ShareWeight: rapid.IntRange(0, 100).Draw(t, "share"), PackingWeight: 100, MaxWait: maxWait},
		}
		m := sc.build()
		for k := range m.allotments {
			m.allotments[k] = 400
		}
		m.sendAllotments()
		m.setFailing(false)
		for i := range 2000 {
			j := m.randomJob(i)
			j.ID = work.JobID(fmt.Sprintf("small%d", i))
			j.Kind, j.Class, j.Tasks = work.Batch, work.Normal, int32(1+m.rnd(3))
			j.Size = resource.Vector{MilliCPU: int64(500 * (1 + m.rnd(4))), MemoryMiB: 512}
			j.Runtime = time.Duration(500+m.rnd(3500)) * time.Millisecond
			at := 200 + m.rnd(40000)
			if i < 4*sc.hosts {
				at = 0
			}
			m.schedule(time.Duration(at)*time.Millisecond, func() { m.addJob(j) })
		}
		large := m.randomJob(0)
		large.ID, large.Class, large.Runtime = "large", work.Normal, time.Second
		large.Size = resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}
		large.Kind, large.Tasks = work.Batch, 1
		if rapid.Bool().Draw(t, "gang") {
			large.Kind, large.Tasks = work.Gang, int32(sc.hosts)
		}
		added := 100 * time.Millisecond
		m.schedule(added, func() { m.addJob(large) })
		m.run(30*time.Second, 50*time.Millisecond)
		bound := added + maxWait + time.Second + longest + 200*time.Millisecond
		if at, ok := m.firstStart["large"]; !ok || at > bound {
			t.Fatalf("started %t at %s, bound %s: %v", ok, at, bound, m.s.Explain("large", m.now))
		}
		if len(m.violations) > 0 {
			t.Fatal(m.violations[0])
		}
	})
}

func (m *model) setFailing(b bool) {
	for _, h := range m.hosts {
		h.failing = b
	}
}
