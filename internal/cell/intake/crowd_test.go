package intake

import "testing"

const (
	replayBlock       = 8 << 10
	replayBody        = 256 << 10
	replayClients     = 2000
	replayOrdinary    = 1500
	replayFactor      = 4
	replayLimit       = 18 << 20
	replayConnections = 491
	// replayInProgress is the number of rounds for which a complete body is processed.
	replayInProgress = 5
)

// replayed is a client of a replay.
type replayed struct {
	connection, body ID
	received         int64
	// ends is the round in which its processing ends, zero before it begins.
	ends int
}

// replay is a crowd and ordinary clients at one process.
type replay struct {
	t           *testing.T
	budget      *Budget
	connections *Connections
	open        map[ID]*replayed // by body
	byConn      map[ID]*replayed
}

func (r *replay) drop(ids []ID) {
	for _, id := range ids {
		c := r.open[id]
		delete(r.open, id)
		delete(r.byConn, c.connection)
		r.connections.Close(c.connection)
	}
}

func (r *replay) connect() *replayed {
	id, evicted, ok := r.connections.Open()
	if !ok {
		r.t.Fatal("a new connection is refused")
	}
	if old := r.byConn[evicted]; old != nil {
		r.budget.Close(old.body)
		delete(r.open, old.body)
		delete(r.byConn, evicted)
	}
	c := &replayed{connection: id, body: r.budget.Open()}
	r.open[c.body], r.byConn[id] = c, c
	return c
}

// receive receives bytes of a client, and reports whether it is still there.
func (r *replay) receive(c *replayed, bytes int64) bool {
	shed, ok := r.budget.Grow(c.body, bytes)
	r.drop(shed)
	c.received += bytes
	return ok
}

// complete reports whether a complete body of a size is processed.
func (r *replay) complete(c *replayed, size int64, round int) bool {
	shed, ok := r.budget.Complete(c.body, replayFactor*size)
	r.drop(shed)
	if !ok {
		r.drop([]ID{c.body})
		return false
	}
	if !r.connections.Use(c.connection) {
		r.t.Fatal("the connection of a complete body has given way")
	}
	c.ends = round + replayInProgress
	return true
}

// Replays 2,000 clients that send bodies of 256 KiB block by block, of which nine in ten
// stop a block short of the end, with two ordinary submissions between any two of their rounds.
// Guards against an ordinary submission that is not processed, and against memory or
// connections beyond the bounds.
func TestOrdinaryClientsAreServedInACrowd(t *testing.T) {
	r := &replay{t: t, budget: NewBudget(replayLimit), connections: NewConnections(replayConnections), open: map[ID]*replayed{}, byConn: map[ID]*replayed{}}
	var crowd []*replayed
	for round := 1; round <= replayOrdinary/2; round++ {
		for range 4 {
			if len(crowd) < replayClients {
				crowd = append(crowd, r.connect())
			}
		}
		for i, c := range crowd {
			if r.open[c.body] != c || c.ends != 0 || c.received == replayBody-replayBlock && i%10 != 0 {
				continue
			}
			if r.receive(c, replayBlock) && c.received == replayBody {
				r.complete(c, replayBody, round)
			}
		}
		for range 2 {
			c := r.connect()
			if !r.receive(c, replayBlock) || !r.complete(c, 1500, round) {
				t.Fatalf("round %d: an ordinary submission is refused: %+v", round, r.budget.Stats())
			}
		}
		for id, c := range r.open {
			if c.ends == round {
				r.budget.Close(id)
				r.connections.Close(c.connection)
				delete(r.open, id)
				delete(r.byConn, c.connection)
			}
		}
		if s, n := r.budget.Stats(), r.connections.Stats(); s.Receiving+s.Processing > replayLimit || n.Open > replayConnections {
			t.Fatalf("round %d: %+v, %+v", round, s, n)
		}
	}
	if s := r.budget.Stats(); s.Shed == 0 {
		t.Errorf("the crowd has not filled the budget: %+v", s)
	}
}
