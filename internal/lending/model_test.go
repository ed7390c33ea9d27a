package lending

import (
	"math/rand/v2"
	"slices"
	"time"
)

const limitName = "slots"

// entry is a transfer in the model log.
type entry struct {
	shard int
	token uint64
	Transfer
	// sentTwice is true for a repeated append; readers drop the second copy.
	sentTwice bool
}

// shardModel is one shard with the state of its owner.
type shardModel struct {
	lender     *Lender
	token      uint64
	readOffset int
	// allotment and pool are as of readOffset.
	allotment, pool int64
	used, waiting   int64
	summary         Observation
}

// ledgerModel is the log and the ledger that results from it.
type ledgerModel struct {
	units  int64
	log    []entry
	shards []shardModel
}

func newLedgerModel(units int64, shards int) *ledgerModel {
	m := &ledgerModel{units: units, shards: make([]shardModel, shards)}
	for i := range m.shards {
		m.shards[i] = shardModel{lender: New(), pool: units}
	}
	return m
}

// stateAfter applies the first n log entries.
func (m *ledgerModel) stateAfter(n int) (pool int64, allotments []int64) {
	pool, allotments = m.units, make([]int64, len(m.shards))
	tokens := make([]uint64, len(m.shards))
	type key struct {
		shard     int
		token, id uint64
	}
	seen := map[key]bool{}
	for _, e := range m.log[:n] {
		k := key{e.shard, e.token, e.ID}
		if e.Units > 0 && seen[k] {
			continue
		}
		seen[k] = true
		switch {
		case e.Units == 0: // A claim.
			tokens[e.shard] = e.token
		case e.token != tokens[e.shard]:
		case e.Return && allotments[e.shard] >= e.Units:
			allotments[e.shard] -= e.Units
			pool += e.Units
		case !e.Return && pool >= e.Units:
			allotments[e.shard] += e.Units
			pool -= e.Units
		}
	}
	return pool, allotments
}

func (m *ledgerModel) readTo(i, n int) {
	s := &m.shards[i]
	pool, allotments := m.stateAfter(n)
	s.readOffset, s.pool, s.allotment = n, pool, allotments[i]
}

func (s *shardModel) available() int64 {
	return s.lender.Available(limitName, s.allotment, uint64(s.readOffset))
}

func (m *ledgerModel) decide(now time.Duration, i int, logReachable bool) []Transfer {
	s := &m.shards[i]
	o := Observation{Limit: limitName, Units: m.units, Pool: s.pool, Allotment: s.allotment, Used: s.used, Waiting: s.waiting}
	for j, other := range m.shards {
		if j == i {
			continue
		}
		free := other.summary.Allotment - other.summary.Used - other.summary.Waiting
		o.OthersIdle += max(free, 0)
		if free < 0 {
			o.OthersUnmet -= free
			o.OtherShardsWithUnmetDemand++
		}
	}
	return s.lender.Decide(now, Input{ReadOffset: uint64(s.readOffset), Shards: int64(len(m.shards)), LogReachable: logReachable, Limits: []Observation{o}})
}

// simulateUnusableFraction simulates a minute of skewed, drifting demand of 1.2
// times the limit. It returns the mean fraction of the limit that is idle in the
// second half of the minute although some shard waits, and the transfers per
// second and shard.
func simulateUnusableFraction(shards int, units int64, seed uint64) (fraction, rate float64) {
	const step = 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	m := newLedgerModel(units, shards)
	demand := make([]float64, shards)
	sum := 0.0
	for i := range demand {
		demand[i] = 1 / float64(i+1)
		sum += demand[i]
	}
	rng.Shuffle(shards, func(i, j int) { demand[i], demand[j] = demand[j], demand[i] })
	var samples, transfers int
	type inFlightTransfer struct {
		entry
		appendedAt time.Duration
	}
	var inFlight []inFlightTransfer
	for now := time.Duration(0); now < time.Minute; now += step {
		for i := range m.shards {
			s := &m.shards[i]
			// A 40th of the running tasks end per step; demand drifts by 2 %.
			demand[i] *= 1 + 0.02*(2*rng.Float64()-1)
			want := int64(demand[i] / sum * 1.2 * float64(units))
			s.used -= min(s.used, int64(float64(s.used)/40+rng.Float64()))
			s.used = max(s.used, min(want, s.available()))
			s.waiting = max(0, want-s.used)
			if now%(2*time.Second) == 0 {
				s.summary = Observation{Allotment: s.available(), Used: s.used, Waiting: s.waiting}
			}
			for _, t := range m.decide(now, i, true) {
				inFlight = append(inFlight, inFlightTransfer{entry{shard: i, Transfer: t}, now + time.Second})
				transfers++
			}
		}
		inFlight = slices.DeleteFunc(inFlight, func(q inFlightTransfer) bool {
			if q.appendedAt > now {
				return false
			}
			m.shards[q.shard].lender.Appended(q.ID, uint64(len(m.log)))
			m.log = append(m.log, q.entry)
			return true
		})
		var used, waiting int64
		for i := range m.shards {
			m.readTo(i, len(m.log))
			used += m.shards[i].used
			waiting += m.shards[i].waiting
		}
		if now >= 30*time.Second {
			fraction += float64(min(units-used, waiting)) / float64(units)
			samples++
		}
	}
	return fraction / float64(samples), float64(transfers) / 60 / float64(shards)
}
