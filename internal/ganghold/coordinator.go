package ganghold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

type phase uint8

const (
	// watching asks for the states of all parts, at intervals.
	watching phase = iota
	// holding asks for one hold after the other.
	holding
	// confirming waits for the answers to the go.
	confirming
)

// Coordinator decides for one gang. It is not safe for concurrent use.
type Coordinator struct {
	config  Config
	shards  []string
	random  *rand.Rand
	phase   phase
	call    uint64
	try     uint64
	backoff time.Duration
	// nextTry is when holds may be asked for again, nextRound when the parts
	// are asked again.
	nextTry, nextRound time.Duration
	mode               Mode
	// open maps the calls without an answer to their shards; since is when the
	// calls of the current step were sent.
	open  map[uint64]string
	since time.Duration
	// states are the answers of the current round.
	states map[string]State
	// wanted are the shards to hold, in order; held counts the granted ones.
	wanted []string
	held   int
	// valid is when the first hold of this try may be over.
	valid time.Duration
	out   []Action
}

// New returns a coordinator that first asks for the state of the parts, since
// an earlier one may have started them.
func New(c Config) *Coordinator {
	shards := slices.Clone(c.Shards)
	slices.Sort(shards)
	return &Coordinator{
		config: c, shards: slices.Compact(shards), random: rand.New(rand.NewPCG(c.Seed, c.Token)),
		open: map[uint64]string{}, states: map[string]State{},
	}
}

// Handle takes in one event and returns what is to be sent.
func (c *Coordinator) Handle(now time.Duration, e Event) []Action {
	c.out = nil
	switch ev := e.(type) {
	case Answered:
		c.answered(now, ev)
	case Failed:
		c.failed(now, ev.Call)
	case Watched:
		if shard, ok := c.open[ev.Call]; ok && c.phase == watching {
			delete(c.open, ev.Call)
			c.states[shard] = ev.State
			c.endRound(now)
		}
	}
	c.passTime(now)
	return c.out
}

// passTime ends what waits for too long and starts what is due.
func (c *Coordinator) passTime(now time.Duration) {
	if len(c.open) > 0 && now-c.since >= CallTimeout {
		switch c.phase {
		case watching:
			clear(c.open)
			c.endRound(now)
		case holding:
			c.giveUp(now)
		case confirming:
			c.watchNow(now)
		}
	}
	if c.phase == watching && len(c.open) == 0 && now >= c.nextRound {
		c.startRound(now)
	}
}

// send notes a call and returns its number.
func (c *Coordinator) send(now time.Duration, shard string) uint64 {
	c.call++
	c.open[c.call] = shard
	c.since = now
	return c.call
}

// startRound asks all parts for their states.
func (c *Coordinator) startRound(now time.Duration) {
	clear(c.states)
	for _, shard := range c.shards {
		c.out = append(c.out, Watch{Call: c.send(now, shard), Shard: shard, Mode: c.mode})
	}
	c.mode = Ask
}

// watchNow starts a round at once, to learn what became of the parts.
func (c *Coordinator) watchNow(now time.Duration) {
	clear(c.open)
	c.phase, c.nextRound, c.mode = watching, now, Ask
}

// endRound decides by the states of the parts once all are known or late.
func (c *Coordinator) endRound(now time.Duration) {
	if len(c.open) > 0 {
		return
	}
	c.nextRound = now + KeepEvery
	count := map[State]int{}
	for _, shard := range c.shards {
		count[c.states[shard]]++
	}
	switch {
	case count[Unknown] == 0 && count[Idle]+count[Mixed] == 0:
		// All parts run or are done.
		c.backoff = 0
		c.mode = Keep
	case count[Unknown] == 0 && count[Running]+count[Mixed] == 0:
		if now < c.nextTry {
			c.nextRound = c.nextTry
			return
		}
		c.startHolding(now)
	case count[Idle]+count[Mixed] > 0 && count[Running] > 0 && c.config.Idempotent:
		if now >= c.nextTry {
			c.delay(now)
		}
		c.mode = Stop
		c.nextRound = now + minBackoff
	case count[Mixed] > 0:
		c.nextRound = now + minBackoff
	}
}

// startHolding asks for the first hold.
func (c *Coordinator) startHolding(now time.Duration) {
	c.wanted = c.wanted[:0]
	for _, shard := range c.shards {
		if c.states[shard] == Idle {
			c.wanted = append(c.wanted, shard)
		}
	}
	c.phase, c.held, c.valid = holding, 0, now+validFor
	c.try++
	c.askNext(now)
}

// hold returns the ID of the holds of this try; later ones sort after it.
func (c *Coordinator) hold() string {
	return fmt.Sprintf("%020d-%020d-%010d", c.config.Token, c.config.Incarnation, c.try)
}

func (c *Coordinator) askNext(now time.Duration) {
	shard := c.wanted[c.held]
	c.out = append(c.out, Hold{Call: c.send(now, shard), Shard: shard, Hold: c.hold(), For: HoldFor})
}

func (c *Coordinator) answered(now time.Duration, ev Answered) {
	if _, ok := c.open[ev.Call]; !ok {
		return
	}
	delete(c.open, ev.Call)
	switch {
	case c.phase == holding && !ev.OK:
		c.giveUp(now)
	case c.phase == holding:
		if c.held++; c.held < len(c.wanted) {
			c.askNext(now)
			return
		}
		c.confirm(now)
	case c.phase == confirming && len(c.open) == 0:
		c.watchNow(now)
	}
}

// confirm lets all parts start, if the first hold is still valid for the time
// of one call.
func (c *Coordinator) confirm(now time.Duration) {
	if now+CallTimeout > c.valid {
		c.giveUp(now)
		return
	}
	c.phase = confirming
	for _, shard := range c.wanted {
		c.out = append(c.out, Confirm{Call: c.send(now, shard), Shard: shard, Hold: c.hold()})
	}
}

// failed handles a call without an answer. What became of a go without an
// answer is seen in the next round.
func (c *Coordinator) failed(now time.Duration, call uint64) {
	if _, ok := c.open[call]; !ok {
		return
	}
	delete(c.open, call)
	switch c.phase {
	case watching:
		c.endRound(now)
	case holding:
		c.giveUp(now)
	case confirming:
		if len(c.open) == 0 {
			c.watchNow(now)
		}
	}
}

// giveUp releases every hold of this try, including the one without an answer,
// and tries again after a backoff.
func (c *Coordinator) giveUp(now time.Duration) {
	for i := range min(c.held+1, len(c.wanted)) {
		c.out = append(c.out, Release{Shard: c.wanted[i], Hold: c.hold()})
	}
	c.watchNow(now)
	c.delay(now)
	c.nextRound = c.nextTry
}

// delay sets the time of the next try, with jitter, so that competing gangs do
// not refuse one another for ever.
func (c *Coordinator) delay(now time.Duration) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.nextTry = now + c.backoff/2 + time.Duration(c.random.Int64N(int64(c.backoff/2)))
}
