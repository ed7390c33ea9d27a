package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// leavingBound is the time of the design after which a leaving runner gets
	// nothing new.
	leavingBound = 3 * time.Second
	leavingStep  = 50 * time.Millisecond
	renewal      = 500 * time.Millisecond
)

// leavingModel is a runner that alone says when it leaves, the nodes that
// borrow its slots and its keeper. Messages and statuses take some steps.
type leavingModel struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Duration
	options Options
	keeper  *Keeper
	tables  []*Table
	renew   []time.Duration
	leaving bool
	since   time.Duration
	later   map[time.Duration][]func()
	number  uint64
	picked  int
}

func newLeavingModel(t *rapid.T) *leavingModel {
	m := &leavingModel{t: t, options: DefaultOptions(), now: renewal, later: map[time.Duration][]func(){}}
	m.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for range 4 {
		tab := NewTable(m.options)
		tab.Add(Runner{ID: "r", Slots: modelSlots})
		m.tables = append(m.tables, tab)
		m.renew = append(m.renew, m.now+m.delay(20))
	}
	m.move()
	return m
}

func (m *leavingModel) delay(steps int) time.Duration {
	return time.Duration(1+m.rand.IntN(steps)) * leavingStep
}

func (m *leavingModel) in(d time.Duration, f func()) { m.later[m.now+d] = append(m.later[m.now+d], f) }

// move makes a new node keeper.
func (m *leavingModel) move() {
	m.keeper = NewKeeper(m.options)
	m.keeper.Start(m.now, "r", modelSlots)
}

func (m *leavingModel) demand(i int) {
	m.number++
	keeper, sent, number := m.keeper, m.now, m.number
	d := m.tables[i].Demands(sent, number, func(string) bool { return true })[0]
	m.in(m.delay(3), func() {
		slots, ok := keeper.Lend(m.now, fmt.Sprint("n", i), 1, number, d)
		leaving := keeper.Leaving("r")
		if leaving && slots > 0 {
			m.t.Fatalf("%d slots lent of a runner that leaves", slots)
		}
		m.in(m.delay(3), func() {
			if ok {
				m.tables[i].Grant(sent, number, "r", slots, m.options.LeaseLength, leaving)
			}
		})
	})
}

func (m *leavingModel) status() {
	keeper, asked := m.keeper, m.now
	m.in(m.delay(3), func() {
		leaving := m.leaving
		m.in(m.delay(3), func() {
			keeper.Status(asked, "r", nil, 0)
			keeper.SaidLeaving(asked, "r", leaving)
		})
	})
}

// request makes a node send a request if it may; the answer takes a while.
func (m *leavingModel) request(i int) bool {
	tab := m.tables[i]
	p, ok := tab.Pick(m.now, "x", nil)
	if !ok {
		return false
	}
	m.picked++
	m.in(m.delay(3), func() {
		leaving := m.leaving
		m.in(m.delay(3), func() {
			if leaving {
				tab.SaidLeaving(m.now, "r", true)
			} else {
				tab.Heard(m.now, "r")
			}
			tab.Done(m.now, p, Answered, leavingStep)
		})
	})
	return true
}

// step passes one step. The first node is the keeper's own.
func (m *leavingModel) step(requests int) {
	m.now += leavingStep
	due := m.later[m.now]
	delete(m.later, m.now)
	for _, f := range due {
		f()
	}
	if m.keeper.StatusDue(m.now, "r", m.tables[0].LastHeard("r")) {
		m.status()
	}
	for i := range m.tables {
		if m.now >= m.renew[i] {
			m.renew[i] = m.now + renewal
			m.demand(i)
		}
		if m.leaving && m.now >= m.since+leavingBound && m.tables[i].Free(m.now) > 0 {
			m.t.Fatalf("node %d may send a request %s after the runner began to leave", i, m.now-m.since)
		}
		if m.rand.IntN(100) < requests {
			m.request(i)
		}
	}
}

func (m *leavingModel) set(leaving bool) { m.leaving, m.since = leaving, m.now }

// Guards against a node that goes on sending to a runner that leaves, since
// only other nodes or the keeper heard it say so (I8), and against one that
// never uses a runner again that has stopped saying so.
func TestLeavingRunnerIsKnownInTime(t *testing.T) {
	picked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeavingModel(t)
		requests := rapid.SampledFrom([]int{0, 2, 20, 80}).Draw(t, "requests percent")
		for range 600 {
			switch m.rand.IntN(100) {
			case 0:
				m.set(!m.leaving)
			case 1:
				if m.rand.IntN(4) == 0 {
					m.move()
				}
			}
			m.step(requests)
		}
		m.set(false)
		// A new keeper may still be waiting for the leases of an earlier one.
		for range int(10 * time.Second / leavingStep) {
			m.step(0)
		}
		for i := range m.tables {
			if !m.request(i) {
				t.Fatalf("node %d does not use a runner that has stayed for 10 s", i)
			}
		}
		picked += m.picked
	})
	if picked == 0 {
		t.Fatal("the model sent no requests: it exercises nothing")
	}
}

// Guards against an older grant or status that hides what a node or the keeper
// has heard since.
func TestOlderWordDoesNotEndLeaving(t *testing.T) {
	all := func(string) bool { return true }
	tab := tableOf(1, "")
	tab.Demands(10, 100, all)
	tab.SaidLeaving(11, "r0", true)
	tab.Grant(10, 100, "r0", 8, time.Hour, false)
	if _, ok := tab.Pick(12, "x", nil); ok {
		t.Fatal("a grant for a demand without the news ended the leaving")
	}
	d := tab.Demands(13, 101, all)
	if !d[0].Leaving {
		t.Fatal("the next demand does not tell the keeper")
	}
	k := NewKeeper(DefaultOptions())
	k.Start(0, "r0", 8)
	if n, ok := k.Lend(14, "a", 1, 101, d[0]); !ok || n != 0 || !k.Leaving("r0") {
		t.Fatalf("lent %d %v of a runner that leaves, want 0 at once", n, ok)
	}
	tab.Grant(13, 101, "r0", 0, time.Hour, true)
	if tab.Demands(15, 102, all)[0].Leaving {
		t.Fatal("news that the keeper has are told again, which would hide a newer status")
	}
	for _, c := range []struct {
		asked time.Duration
		want  bool
	}{{13, true}, {14, true}, {15, false}} {
		if k.SaidLeaving(c.asked, "r0", false); k.Leaving("r0") != c.want {
			t.Fatalf("leaving is %v after a status asked for at %d", !c.want, c.asked)
		}
	}
	tab.Grant(15, 102, "r0", 8, time.Hour, false)
	if _, ok := tab.Pick(16, "x", nil); !ok {
		t.Fatal("the runner stays unused after the keeper has cleared it")
	}
}

// Guards against status calls to runners that just answered, and against none
// to a runner that leaves while its last requests are answered.
func TestStatusDue(t *testing.T) {
	k := NewKeeper(DefaultOptions())
	k.Start(time.Second, "r", 8)
	for i, c := range []struct {
		now, heard time.Duration
		leaving    bool
		want       bool
	}{
		{1000, 0, false, true}, {1900, 0, false, false}, {2000, 1500, false, false}, {2500, 1500, false, true},
		{3500, 3400, false, false}, {3600, 3600, true, true}, {4600, 4600, false, true},
	} {
		if c.leaving {
			k.SaidLeaving(2500*time.Millisecond, "r", true)
		}
		if got := k.StatusDue(c.now*time.Millisecond, "r", c.heard*time.Millisecond); got != c.want {
			t.Errorf("case %d: due is %v", i, got)
		}
	}
	if k.StatusDue(time.Hour, "other", 0) {
		t.Error("a status of a runner is due at a node that is not its keeper")
	}
}
