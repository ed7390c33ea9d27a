package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slotModel is a runner, its keepers and the nodes that borrow its slots. The
// runner never refuses here, so the model shows what leases alone guarantee.
type slotModel struct {
	t         *rapid.T
	rand      *rand.Rand
	now       time.Duration
	options   Options
	keepers   []*Keeper
	keeper    int
	nodes     []*modelNode
	demands   []modelDemand
	grants    []modelGrant
	running   map[string]time.Duration
	sequence  uint64
	id        int
	started   int
	mostTaken int
}

type modelNode struct {
	name        string
	incarnation uint64
	// speed is the rate of the node's clock in thousandths.
	speed time.Duration
	table *Table
	sent  []modelRequest
}

type modelRequest struct {
	pick Pick
	id   string
}

type modelDemand struct {
	node, keeper          int
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
	// Drawn integers lean to small values; a drawn seed gives even choices.
	source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	m := &slotModel{t: t, rand: source, options: o, running: map[string]time.Duration{}}
	for i := range 3 {
		m.keepers = append(m.keepers, NewKeeper(o))
		n := &modelNode{name: fmt.Sprint("n", i), speed: time.Duration(995 + source.IntN(11))}
		m.nodes = append(m.nodes, n)
		m.restart(i)
	}
	m.keepers[0].Start(m.clock(0), "r", modelSlots)
	m.pass(4 * time.Second)
	return m
}

func (m *slotModel) clock(i int) time.Duration { return m.now * m.nodes[i].speed / 1000 }

func (m *slotModel) restart(i int) {
	n := m.nodes[i]
	n.incarnation++
	n.sent = nil
	n.table = NewTable(m.options)
	n.table.Add(Runner{ID: "r", Slots: modelSlots})
}

func (m *slotModel) pass(d time.Duration) {
	m.now += d
	for id, end := range m.running {
		if m.now >= end {
			delete(m.running, id)
		}
	}
}

func (m *slotModel) status() (listed []string) {
	for id := range m.running {
		listed = append(listed, id)
	}
	return listed
}

func (m *slotModel) ask(i int) {
	// Messages beyond the newest ones are lost.
	m.demands = m.demands[max(0, len(m.demands)-16):]
	m.grants = m.grants[max(0, len(m.grants)-16):]
	n := m.nodes[i]
	m.sequence++
	for _, d := range n.table.Demands(m.clock(i), m.sequence, func(string) bool { return true }) {
		m.demands = append(m.demands, modelDemand{i, m.keeper, n.incarnation, m.sequence, m.clock(i), d})
	}
}

// deliverDemand brings some demand to its keeper; others stay delayed.
func (m *slotModel) deliverDemand(k int, drop bool) {
	d := m.demands[k]
	m.demands = append(m.demands[:k], m.demands[k+1:]...)
	if drop {
		return
	}
	keeper, b := m.keepers[d.keeper], borrower{m.nodes[d.node].name, d.incarnation}
	slots, ok := keeper.Lend(m.clock(d.keeper), b.node, b.incarnation, d.sequence, d.demand)
	if slots > 0 {
		// Beside a grant, everything that others may use fits the runner.
		if others := keeper.Lent("r") - keeper.runners["r"].entries[b].bound; slots+others > modelSlots {
			m.t.Fatalf("%d slots lent beside %d of %d", slots, others, modelSlots)
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
		n.table.Grant(g.sent, g.sequence, "r", g.slots, m.options.LeaseLength, false)
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

// end ends the oldest request of a node: with its answer, or with the answer
// lost while the runner goes on.
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

// moveKeeper makes another node the keeper, as a change of members does.
func (m *slotModel) moveKeeper() {
	m.keepers[m.keeper].Stop("r")
	m.keeper = (m.keeper + 1) % len(m.keepers)
	m.keepers[m.keeper] = NewKeeper(m.options)
	m.keepers[m.keeper].Start(m.clock(m.keeper), "r", modelSlots)
}

func (m *slotModel) probe() {
	listed := m.status()
	m.keepers[m.keeper].Status(m.clock(m.keeper), "r", listed, len(listed))
	for i, n := range m.nodes {
		n.table.ResolveStatus(m.clock(i), "r", listed, len(listed))
		n.table.Expire(m.clock(i))
	}
}

func (m *slotModel) check() {
	m.mostTaken = max(m.mostTaken, len(m.running))
	if len(m.running) > modelSlots {
		m.t.Fatalf("%d requests run on %d slots", len(m.running), modelSlots)
	}
}

// rare changes who takes part.
func (m *slotModel) rare(node int) {
	switch m.rand.IntN(10) {
	case 0:
		m.restart(node)
	case 1:
		m.moveKeeper()
	}
}

// exchange is a demand and its answer without loss or delay.
func (m *slotModel) exchange(node int) {
	m.ask(node)
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
		m.rare(node)
	case 1:
		m.exchange(node)
	case 2:
		m.pass(time.Duration(1+m.rand.IntN(7000)) * time.Millisecond)
	case 3, 4:
		m.pass(100 * time.Millisecond)
	case 5, 6:
		m.probe()
	case 7, 8, 9, 10, 11, 12:
		m.ask(node)
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
	m.check()
}

// Guards against more than eight requests at a runner under lost, delayed and
// reordered leases, pauses, restarts, keeper changes and clock drift.
func TestSlotsNeverExceeded(t *testing.T) {
	most, started := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newSlotModel(t)
		for range 10_000 {
			m.step()
		}
		most, started = max(most, m.mostTaken), started+m.started
	})
	if started == 0 || most < modelSlots {
		t.Fatalf("the model started %d requests, %d at once: it exercises nothing", started, most)
	}
}

// Guards against slots that are never lent again after their borrower died.
func TestSlotsOfDeadBorrowerReturn(t *testing.T) {
	o := DefaultOptions()
	k := NewKeeper(o)
	k.Start(0, "r", 8)
	now := 4 * time.Second
	k.Status(now, "r", nil, 0)
	if n, ok := k.Lend(now, "a", 1, 1, Demand{Runner: "r", Want: 8}); !ok || n != 8 {
		t.Fatalf("lent %d, want 8", n)
	}
	if n, _ := k.Lend(now, "b", 1, 1, Demand{Runner: "r", Want: 8}); n != 0 {
		t.Fatalf("lent %d of slots that are lent", n)
	}
	now = LeaseEnd(now, o.LeaseLength)
	k.Status(now, "r", []string{"x"}, 1)
	if n, _ := k.Lend(now, "b", 1, 2, Demand{Runner: "r", Want: 8}); n != 7 {
		t.Fatalf("lent %d, want 7 beside the request still running", n)
	}
	if n, _ := k.Lend(now+o.MaxRequestTime, "b", 1, 3, Demand{Runner: "r", Want: 8, Held: 7}); n != 8 {
		t.Fatalf("lent %d after the maximum request time, want 8", n)
	}
}
