package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// leavingTimeout is the time after which a leaving runner must get no new
	// request.
	leavingTimeout = 3 * time.Second
	stepLength     = 50 * time.Millisecond
	renewInterval  = 500 * time.Millisecond
)

// leavingModel simulates a runner that reports by itself when it is leaving, its
// lease manager and the nodes that lease its slots. Messages and status calls are
// delayed by some steps.
type leavingModel struct {
	t         *rapid.T
	rand      *rand.Rand
	now       time.Duration
	options   Options
	manager   *LeaseManager
	tables    []*Table
	renewAt   []time.Duration
	leaving   bool
	changedAt time.Duration
	scheduled map[time.Duration][]func()
	sequence  uint64
	picked    int
}

func newLeavingModel(t *rapid.T) *leavingModel {
	m := &leavingModel{t: t, options: DefaultOptions(), now: renewInterval, scheduled: map[time.Duration][]func(){}}
	m.rand = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for range 4 {
		tab := NewTable(m.options)
		tab.Add(Runner{ID: "r", Slots: modelSlots})
		m.tables = append(m.tables, tab)
		m.renewAt = append(m.renewAt, m.now+m.delay(20))
	}
	m.replaceManager()
	return m
}

func (m *leavingModel) delay(steps int) time.Duration {
	return time.Duration(1+m.rand.IntN(steps)) * stepLength
}

func (m *leavingModel) after(d time.Duration, f func()) {
	m.scheduled[m.now+d] = append(m.scheduled[m.now+d], f)
}

// replaceManager makes a new node the lease manager.
func (m *leavingModel) replaceManager() {
	m.manager = NewLeaseManager(m.options)
	m.manager.Start(m.now, "r", modelSlots)
}

func (m *leavingModel) sendDemand(i int) {
	m.sequence++
	manager, sent, sequence := m.manager, m.now, m.sequence
	d := m.tables[i].Demands(sent, sequence, func(string) bool { return true })[0]
	m.after(m.delay(3), func() {
		slots, ok := manager.HandleDemand(m.now, fmt.Sprint("n", i), 1, sequence, d)
		leaving := manager.Leaving("r")
		if leaving && slots > 0 {
			m.t.Fatalf("%d slots of a leaving runner granted", slots)
		}
		m.after(m.delay(3), func() {
			if ok {
				m.tables[i].ApplyGrant(sent, sequence, "r", slots, m.options.LeaseLength, leaving)
			}
		})
	})
}

func (m *leavingModel) sendStatus() {
	manager, askedAt := m.manager, m.now
	m.after(m.delay(3), func() {
		leaving := m.leaving
		m.after(m.delay(3), func() {
			manager.ApplyStatus(askedAt, "r", nil, 0)
			manager.RecordLeaving(askedAt, "r", leaving)
		})
	})
}

// sendRequest sends a request from a node if it has a slot, and returns whether it
// did. The answer is delayed.
func (m *leavingModel) sendRequest(i int) bool {
	tab := m.tables[i]
	p, ok := tab.Pick(m.now, "x", nil)
	if !ok {
		return false
	}
	m.picked++
	m.after(m.delay(3), func() {
		leaving := m.leaving
		m.after(m.delay(3), func() {
			if leaving {
				tab.RecordLeaving(m.now, "r", true)
			} else {
				tab.RecordAnswer(m.now, "r")
			}
			tab.Done(m.now, p, Answered, stepLength)
		})
	})
	return true
}

// step advances the model by one step. The first node is the one that runs the
// lease manager.
func (m *leavingModel) step(requests int) {
	m.now += stepLength
	due := m.scheduled[m.now]
	delete(m.scheduled, m.now)
	for _, f := range due {
		f()
	}
	if m.manager.StatusDue(m.now, "r", m.tables[0].LastAnswerAt("r")) {
		m.sendStatus()
	}
	for i := range m.tables {
		if m.now >= m.renewAt[i] {
			m.renewAt[i] = m.now + renewInterval
			m.sendDemand(i)
		}
		if m.leaving && m.now >= m.changedAt+leavingTimeout && m.tables[i].Free(m.now) > 0 {
			m.t.Fatalf("node %d still has free slots %s after the runner began to leave", i, m.now-m.changedAt)
		}
		if m.rand.IntN(100) < requests {
			m.sendRequest(i)
		}
	}
}

func (m *leavingModel) setLeaving(leaving bool) { m.leaving, m.changedAt = leaving, m.now }

// Guards against a node that keeps sending requests to a leaving runner because
// only other nodes or the lease manager received its report (I8), and against a
// node that never uses a runner again after it has stopped leaving.
func TestLeavingRunnerIsKnownInTime(t *testing.T) {
	picked := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeavingModel(t)
		requests := rapid.SampledFrom([]int{0, 2, 20, 80}).Draw(t, "requests percent")
		for range 600 {
			switch m.rand.IntN(100) {
			case 0:
				m.setLeaving(!m.leaving)
			case 1:
				if m.rand.IntN(4) == 0 {
					m.replaceManager()
				}
			}
			m.step(requests)
		}
		m.setLeaving(false)
		// A new lease manager may still be waiting for earlier leases to expire.
		for range int(10 * time.Second / stepLength) {
			m.step(0)
		}
		for i := range m.tables {
			if !m.sendRequest(i) {
				t.Fatalf("node %d does not use a runner that stopped leaving 10 s ago", i)
			}
		}
		picked += m.picked
	})
	if picked == 0 {
		t.Fatal("the model sent no requests, so the test checked nothing")
	}
}

// Guards against an older grant or status that overwrites a newer report which a
// node or the lease manager has received.
func TestOlderReportDoesNotEndLeaving(t *testing.T) {
	all := func(string) bool { return true }
	tab := tableOf(1, "")
	tab.Demands(10, 100, all)
	tab.RecordLeaving(11, "r0", true)
	tab.ApplyGrant(10, 100, "r0", 8, time.Hour, false)
	if _, ok := tab.Pick(12, "x", nil); ok {
		t.Fatal("a grant for a demand without the report cleared the leaving state")
	}
	d := tab.Demands(13, 101, all)
	if !d[0].Leaving {
		t.Fatal("the next demand does not report that the runner is leaving")
	}
	k := NewLeaseManager(DefaultOptions())
	k.Start(0, "r0", 8)
	if n, ok := k.HandleDemand(14, "a", 1, 101, d[0]); !ok || n != 0 || !k.Leaving("r0") {
		t.Fatalf("granted %d (ok %v) of a leaving runner, want 0 at once", n, ok)
	}
	tab.ApplyGrant(13, 101, "r0", 0, time.Hour, true)
	if tab.Demands(15, 102, all)[0].Leaving {
		t.Fatal("a report that the lease manager has is sent again, which would overwrite a newer status")
	}
	for _, c := range []struct {
		asked time.Duration
		want  bool
	}{{13, true}, {14, true}, {15, false}} {
		if k.RecordLeaving(c.asked, "r0", false); k.Leaving("r0") != c.want {
			t.Fatalf("leaving is %v after a status call sent at %d", !c.want, c.asked)
		}
	}
	tab.ApplyGrant(15, 102, "r0", 8, time.Hour, false)
	if _, ok := tab.Pick(16, "x", nil); !ok {
		t.Fatal("the runner gets no request after the lease manager cleared its leaving state")
	}
}

// Guards against status calls to runners that have just answered, and against
// missing status calls to a leaving runner that still answers its last requests.
func TestStatusDue(t *testing.T) {
	k := NewLeaseManager(DefaultOptions())
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
			k.RecordLeaving(2500*time.Millisecond, "r", true)
		}
		if got := k.StatusDue(c.now*time.Millisecond, "r", c.heard*time.Millisecond); got != c.want {
			t.Errorf("case %d: due is %v", i, got)
		}
	}
	if k.StatusDue(time.Hour, "other", 0) {
		t.Error("a status call is due at a node that is not the runner's lease manager")
	}
}
