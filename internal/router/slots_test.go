package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slotModel simulates a runner, its lease managers and the nodes that lease its
// slots. The runner never refuses a request, so the model shows what the leases
// alone guarantee.
type slotModel struct {
	t          *rapid.T
	rand       *rand.Rand
	now        time.Duration
	options    Options
	managers   []*LeaseManager
	manager    int
	nodes      []*modelNode
	demands    []modelDemand
	grants     []modelGrant
	running    map[string]time.Duration
	sequence   uint64
	id         int
	started    int
	maxRunning int
}

type modelNode struct {
	name        string
	incarnation uint64
	// clockRate is the rate of the node's clock in thousandths.
	clockRate time.Duration
	table     *Table
	sent      []modelRequest
}

type modelRequest struct {
	pick Pick
	id   string
}

type modelDemand struct {
	node, manager         int
	incarnation, sequence uint64
	sent                  time.Duration
	demand                Demand
}

type modelGrant struct {
	modelDemand
	slots int
}

const modelSlots = 8

func newSlotModel(t *rapid.T) *slotModel {
	o := DefaultOptions()
	o.MaxRequestTime = 5 * time.Second
	// Integers drawn by rapid are biased towards small values; a generator with a
	// drawn seed is uniform.
	source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	m := &slotModel{t: t, rand: source, options: o, running: map[string]time.Duration{}}
	for i := range 3 {
		m.managers = append(m.managers, NewLeaseManager(o))
		n := &modelNode{name: fmt.Sprint("n", i), clockRate: time.Duration(995 + source.IntN(11))}
		m.nodes = append(m.nodes, n)
		m.restart(i)
	}
	m.managers[0].Start(m.clock(0), "r", modelSlots)
	m.advance(4 * time.Second)
	return m
}

func (m *slotModel) clock(i int) time.Duration { return m.now * m.nodes[i].clockRate / 1000 }

func (m *slotModel) restart(i int) {
	n := m.nodes[i]
	n.incarnation++
	n.sent = nil
	n.table = NewTable(m.options)
	n.table.Add(Runner{ID: "r", Slots: modelSlots})
}

func (m *slotModel) advance(d time.Duration) {
	m.now += d
	for id, end := range m.running {
		if m.now >= end {
			delete(m.running, id)
		}
	}
}

func (m *slotModel) runningIDs() (listed []string) {
	for id := range m.running {
		listed = append(listed, id)
	}
	return listed
}

func (m *slotModel) sendDemands(i int) {
	// Only the newest messages are kept; older ones are lost.
	m.demands = m.demands[max(0, len(m.demands)-16):]
	m.grants = m.grants[max(0, len(m.grants)-16):]
	n := m.nodes[i]
	m.sequence++
	for _, d := range n.table.Demands(m.clock(i), m.sequence, func(string) bool { return true }) {
		m.demands = append(m.demands, modelDemand{i, m.manager, n.incarnation, m.sequence, m.clock(i), d})
	}
}

// deliverDemand delivers or drops one demand; the others stay delayed.
func (m *slotModel) deliverDemand(k int, drop bool) {
	d := m.demands[k]
	m.demands = append(m.demands[:k], m.demands[k+1:]...)
	if drop {
		return
	}
	manager, b := m.managers[d.manager], leaseHolder{m.nodes[d.node].name, d.incarnation}
	slots, ok := manager.HandleDemand(m.clock(d.manager), b.node, b.incarnation, d.sequence, d.demand)
	if slots > 0 {
		// A grant and the slots that others may use must not exceed the runner's.
		if others := manager.CommittedSlots("r") - manager.runners["r"].entries[b].maxInUse; slots+others > modelSlots {
			m.t.Fatalf("%d slots granted while others may use %d of %d", slots, others, modelSlots)
		}
	}
	if ok {
		m.grants = append(m.grants, modelGrant{d, slots})
	}
}

func (m *slotModel) deliverGrant(k int, drop bool) {
	g := m.grants[k]
	m.grants = append(m.grants[:k], m.grants[k+1:]...)
	if n := m.nodes[g.node]; !drop && n.incarnation == g.incarnation {
		n.table.ApplyGrant(g.sent, g.sequence, "r", g.slots, m.options.LeaseLength, false)
	}
}

func (m *slotModel) start(i int) {
	n := m.nodes[i]
	m.id++
	id := fmt.Sprint(m.id)
	if p, ok := n.table.Pick(m.clock(i), id, nil); ok {
		n.sent = append(n.sent, modelRequest{p, id})
		m.running[id] = m.now + m.options.MaxRequestTime
		m.started++
	}
}

// end ends the oldest request of a node: with its answer, or with a lost answer
// while the request still runs at the runner.
func (m *slotModel) end(i int, lost bool) {
	n := m.nodes[i]
	if len(n.sent) == 0 {
		return
	}
	r := n.sent[0]
	n.sent = n.sent[1:]
	if lost {
		n.table.Done(m.clock(i), r.pick, Unknown, time.Millisecond)
		return
	}
	delete(m.running, r.id)
	n.table.Done(m.clock(i), r.pick, Answered, time.Millisecond)
}

// moveManager makes another node the lease manager, as a membership change does.
func (m *slotModel) moveManager() {
	m.managers[m.manager].Stop("r")
	m.manager = (m.manager + 1) % len(m.managers)
	m.managers[m.manager] = NewLeaseManager(m.options)
	m.managers[m.manager].Start(m.clock(m.manager), "r", modelSlots)
}

func (m *slotModel) applyStatus() {
	listed := m.runningIDs()
	m.managers[m.manager].ApplyStatus(m.clock(m.manager), "r", listed, len(listed))
	for i, n := range m.nodes {
		n.table.ResolveStatus(m.clock(i), "r", listed, len(listed))
		n.table.Expire(m.clock(i))
	}
}

func (m *slotModel) checkSlots() {
	m.maxRunning = max(m.maxRunning, len(m.running))
	if len(m.running) > modelSlots {
		m.t.Fatalf("%d requests are running on %d slots", len(m.running), modelSlots)
	}
}

// changeMembers restarts a node, replaces the lease manager or does nothing.
func (m *slotModel) changeMembers(node int) {
	switch m.rand.IntN(10) {
	case 0:
		m.restart(node)
	case 1:
		m.moveManager()
	}
}

// renewNow sends a demand and its grant without loss or delay.
func (m *slotModel) renewNow(node int) {
	m.sendDemands(node)
	grants := len(m.grants)
	m.deliverDemand(len(m.demands)-1, false)
	if len(m.grants) > grants {
		m.deliverGrant(grants, false)
	}
}

func (m *slotModel) step() {
	node := m.rand.IntN(len(m.nodes))
	lost := m.rand.IntN(5) == 0
	switch m.rand.IntN(40) {
	case 0:
		m.changeMembers(node)
	case 1:
		m.renewNow(node)
	case 2:
		m.advance(time.Duration(1+m.rand.IntN(7000)) * time.Millisecond)
	case 3, 4:
		m.advance(100 * time.Millisecond)
	case 5, 6:
		m.applyStatus()
	case 7, 8, 9, 10, 11, 12:
		m.sendDemands(node)
	case 13, 14, 15, 16, 17, 18, 19:
		if len(m.demands) > 0 {
			m.deliverDemand(m.rand.IntN(len(m.demands)), lost)
		}
	case 20, 21, 22, 23, 24, 25:
		if len(m.grants) > 0 {
			m.deliverGrant(m.rand.IntN(len(m.grants)), lost)
		}
	case 26, 27, 28, 29:
		m.end(node, lost)
	default:
		m.start(node)
	}
	m.checkSlots()
}

// Guards against more requests at a runner than its eight slots, under lost,
// delayed and reordered lease messages, pauses, restarts, changes of the lease
// manager and clock drift.
func TestSlotsNeverExceeded(t *testing.T) {
	most, started := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(t)
		for range 10_000 {
			m.step()
		}
		most, started = max(most, m.maxRunning), started+m.started
	})
	if started == 0 || most < modelSlots {
		t.Fatalf("the model started %d requests, at most %d at once, so the test checked nothing", started, most)
	}
}

// Guards against slots that are never granted again after their holder died.
func TestSlotsOfDeadHolderAreGrantedAgain(t *testing.T) {
	o := DefaultOptions()
	k := NewLeaseManager(o)
	k.Start(0, "r", 8)
	now := 4 * time.Second
	k.ApplyStatus(now, "r", nil, 0)
	if n, ok := k.HandleDemand(now, "a", 1, 1, Demand{Runner: "r", Want: 8}); !ok || n != 8 {
		t.Fatalf("granted %d, want 8", n)
	}
	if n, _ := k.HandleDemand(now, "b", 1, 1, Demand{Runner: "r", Want: 8}); n != 0 {
		t.Fatalf("granted %d slots that are already leased", n)
	}
	now = LeaseEnd(now, o.LeaseLength)
	k.ApplyStatus(now, "r", []string{"x"}, 1)
	if n, _ := k.HandleDemand(now, "b", 1, 2, Demand{Runner: "r", Want: 8}); n != 7 {
		t.Fatalf("granted %d, want 7 while one request is still running", n)
	}
	if n, _ := k.HandleDemand(now+o.MaxRequestTime, "b", 1, 3, Demand{Runner: "r", Want: 8, Held: 7}); n != 8 {
		t.Fatalf("granted %d after the maximum request time, want 8", n)
	}
}
