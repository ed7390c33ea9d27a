package ganghold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// phase is the current step of the protocol.
type phase uint8

const (
	// watching polls the states of all parts.
	watching phase = iota
	// holding requests the holds one after the other.
	holding
	// confirming waits for the answers to the confirmations of the holds.
	confirming
)

// Coordinator runs the protocol for one gang. It is not safe for concurrent use.
type Coordinator struct {
	config  Config
	shards  []string
	random  *rand.Rand
	phase   phase
	call    uint64
	try     uint64
	backoff time.Duration
	// nextTryAt is when holds may be requested again, nextWatchAt when the parts
	// are polled again. mode is sent with that poll.
	nextTryAt, nextWatchAt time.Duration
	mode                   Mode
	// pending maps the calls without an answer to their shards; sentAt is when
	// the latest call was sent.
	pending map[uint64]string
	sentAt  time.Duration
	// states are the answers to the current poll, by shard.
	states map[string]State
	// toHold are the shards to request holds from, in order; granted is the
	// number of holds granted so far.
	toHold  []string
	granted int
	// holdsValidUntil is when the first hold of this try may expire.
	holdsValidUntil time.Duration
	actions         []Action
}

// New returns a coordinator that first polls the states of the parts, because an
// earlier coordinator may have started them.
func New(c Config) *Coordinator {
	shards := slices.Clone(c.Shards)
	slices.Sort(shards)
	return &Coordinator{
		config: c, shards: slices.Compact(shards), random: rand.New(rand.NewPCG(c.Seed, c.Token)),
		pending: map[uint64]string{}, states: map[string]State{},
	}
}

// Handle processes one event at the time now and returns the messages to send.
func (c *Coordinator) Handle(now time.Duration, e Event) []Action {
	c.actions = nil
	switch ev := e.(type) {
	case Answered:
		c.handleAnswer(now, ev)
	case Failed:
		c.handleFailure(now, ev.Call)
	case Watched:
		if shard, ok := c.pending[ev.Call]; ok && c.phase == watching {
			delete(c.pending, ev.Call)
			c.states[shard] = ev.State
			c.evaluateStates(now)
		}
	}
	c.checkTimers(now)
	return c.actions
}

// checkTimers handles calls that have timed out and starts a poll that is due.
func (c *Coordinator) checkTimers(now time.Duration) {
	if len(c.pending) > 0 && now-c.sentAt >= CallTimeout {
		switch c.phase {
		case watching:
			clear(c.pending)
			c.evaluateStates(now)
		case holding:
			c.abandonTry(now)
		case confirming:
			c.resumeWatching(now)
		}
	}
	if c.phase == watching && len(c.pending) == 0 && now >= c.nextWatchAt {
		c.watchParts(now)
	}
}

// registerCall records a call to a shard as pending and returns its number.
func (c *Coordinator) registerCall(now time.Duration, shard string) uint64 {
	c.call++
	c.pending[c.call] = shard
	c.sentAt = now
	return c.call
}

// watchParts polls the states of all parts.
func (c *Coordinator) watchParts(now time.Duration) {
	clear(c.states)
	for _, shard := range c.shards {
		c.actions = append(c.actions, Watch{Call: c.registerCall(now, shard), Shard: shard, Mode: c.mode})
	}
	c.mode = Query
}

// resumeWatching makes a poll due at once, to find out the states of the parts.
// Answers to earlier calls are ignored from then on.
func (c *Coordinator) resumeWatching(now time.Duration) {
	clear(c.pending)
	c.phase, c.nextWatchAt, c.mode = watching, now, Query
}

// evaluateStates chooses the next step by the states of the parts. It does nothing
// while calls are pending; a part that did not answer in time counts as Unknown.
func (c *Coordinator) evaluateStates(now time.Duration) {
	if len(c.pending) > 0 {
		return
	}
	c.nextWatchAt = now + WatchInterval
	count := map[State]int{}
	for _, shard := range c.shards {
		count[c.states[shard]]++
	}
	switch {
	case count[Unknown] == 0 && count[Idle]+count[Mixed] == 0:
		// All parts run or are done.
		c.backoff = 0
		c.mode = AllRunning
	case count[Unknown] == 0 && count[Running]+count[Mixed] == 0:
		if now < c.nextTryAt {
			c.nextWatchAt = c.nextTryAt
			return
		}
		c.startHolding(now)
	case count[Idle]+count[Mixed] > 0 && count[Running] > 0 && c.config.Idempotent:
		if now >= c.nextTryAt {
			c.delayNextTry(now)
		}
		c.mode = Stop
		c.nextWatchAt = now + minBackoff
	case count[Mixed] > 0:
		c.nextWatchAt = now + minBackoff
	}
}

// startHolding begins a try to hold all idle parts and requests the first hold.
func (c *Coordinator) startHolding(now time.Duration) {
	c.toHold = c.toHold[:0]
	for _, shard := range c.shards {
		if c.states[shard] == Idle {
			c.toHold = append(c.toHold, shard)
		}
	}
	c.phase, c.granted, c.holdsValidUntil = holding, 0, now+minHoldValidity
	c.try++
	c.requestNextHold(now)
}

// holdID returns the ID of the holds of this try. IDs of later tries sort after it.
func (c *Coordinator) holdID() string {
	return fmt.Sprintf("%020d-%020d-%010d", c.config.Token, c.config.Incarnation, c.try)
}

func (c *Coordinator) requestNextHold(now time.Duration) {
	shard := c.toHold[c.granted]
	c.actions = append(c.actions, Hold{Call: c.registerCall(now, shard), Shard: shard, HoldID: c.holdID(), Validity: HoldValidity})
}

func (c *Coordinator) handleAnswer(now time.Duration, ev Answered) {
	if _, ok := c.pending[ev.Call]; !ok {
		return
	}
	delete(c.pending, ev.Call)
	switch {
	case c.phase == holding && !ev.OK:
		c.abandonTry(now)
	case c.phase == holding:
		if c.granted++; c.granted < len(c.toHold) {
			c.requestNextHold(now)
			return
		}
		c.confirm(now)
	case c.phase == confirming && len(c.pending) == 0:
		c.resumeWatching(now)
	}
}

// confirm confirms all holds, so that the parts start, if the first hold is still
// valid for at least CallTimeout. Otherwise it abandons the try.
func (c *Coordinator) confirm(now time.Duration) {
	if now+CallTimeout > c.holdsValidUntil {
		c.abandonTry(now)
		return
	}
	c.phase = confirming
	for _, shard := range c.toHold {
		c.actions = append(c.actions, Confirm{Call: c.registerCall(now, shard), Shard: shard, HoldID: c.holdID()})
	}
}

// handleFailure handles a call that got no answer. Whether a confirmation without
// an answer took effect shows in the next poll.
func (c *Coordinator) handleFailure(now time.Duration, call uint64) {
	if _, ok := c.pending[call]; !ok {
		return
	}
	delete(c.pending, call)
	switch c.phase {
	case watching:
		c.evaluateStates(now)
	case holding:
		c.abandonTry(now)
	case confirming:
		if len(c.pending) == 0 {
			c.resumeWatching(now)
		}
	}
}

// abandonTry releases every hold of this try, including a requested one without an
// answer, and schedules the next try after a backoff.
func (c *Coordinator) abandonTry(now time.Duration) {
	for i := range min(c.granted+1, len(c.toHold)) {
		c.actions = append(c.actions, Release{Shard: c.toHold[i], HoldID: c.holdID()})
	}
	c.resumeWatching(now)
	c.delayNextTry(now)
	c.nextWatchAt = c.nextTryAt
}

// delayNextTry sets the time of the next try by exponential backoff. The jitter
// keeps competing gangs from blocking one another forever.
func (c *Coordinator) delayNextTry(now time.Duration) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.nextTryAt = now + c.backoff/2 + time.Duration(c.random.Int64N(int64(c.backoff/2)))
}
