package runtimes

import (
	"time"
)

const (
	// admitEvery is which run of new keys adds one once all keys are in use. Keys that are
	// used in turn would otherwise evict each other before any has minSamples runs.
	admitEvery = 16
	// minHostSpeed and maxHostSpeed bound the speeds of hosts: more is more likely an error.
	minHostSpeed, maxHostSpeed = 0.125, 8
	// minRemaining is the least time that a run is expected to take still, since its end is
	// known only once it is reported.
	minRemaining = 20 * time.Millisecond
	// minOverdue is how much longer a run is expected to take at least once it has exceeded
	// its estimate or every run so far.
	minOverdue = 500 * time.Millisecond
	// maxExpectation bounds what is returned, so that callers can add it to a time.
	maxExpectation = 10 * 365 * 24 * time.Hour
)

// Model estimates run times. It is not safe for concurrent use.
type Model struct {
	maxKeys int
	keys    map[Key]*learned
	// uses numbers the uses of keys; see learned.usedAt.
	uses int64
	// evicted is the number of keys that were removed for others.
	evicted int64
	// turnedAway is the number of runs of new keys since the last one that evicted a key.
	turnedAway int
}

// New returns a model without runs.
func New(o Options) *Model {
	m := &Model{maxKeys: o.MaxKeys, keys: make(map[Key]*learned)}
	if m.maxKeys <= 0 {
		m.maxKeys = DefaultMaxKeys
	}
	return m
}

// Observe adds a run. censored is set if it did not end by itself, so that its duration is
// only a lower bound. It reports whether the run was recorded.
func (m *Model) Observe(k Key, r Run, censored bool) bool {
	if r.Took <= 0 {
		return false
	}
	l := m.keys[k]
	if l == nil {
		if censored {
			return false // it says nothing without others
		}
		if l = m.add(k); l == nil {
			return false
		}
	}
	m.use(l)
	took := max(time.Duration(float64(min(r.Took, maxExpectation))*clampSpeed(r.HostSpeed)), 1)
	if censored && !l.boundSaysSomething(took, r.Estimate) {
		l.censored++
		return false // without a share, which is for recorded runs
	}
	if !l.share.take(r.Host) {
		l.dropped++
		return false
	}
	if censored {
		l.observeCensored(took, r.Estimate)
	} else {
		l.observe(took, r.Estimate)
	}
	return true
}

// Expect returns how long a run with an estimate is expected to take on a host with a speed.
// Until enough runs have ended, this is the estimate.
func (m *Model) Expect(k Key, estimate time.Duration, hostSpeed float64) Expectation {
	speed := clampSpeed(hostSpeed)
	l := m.lookUp(k)
	if l == nil {
		return Exactly(scale(float64(estimate), speed))
	}
	d, unit := l.measure(estimate)
	t := d.table()
	return Expectation{
		Median: scale(t.at(0.5)*unit, speed), P90: scale(t.at(0.9)*unit, speed), P99: scale(t.at(0.99)*unit, speed), Samples: d.samples,
	}
}

// Remaining returns how much longer a run that has taken the time elapsed is expected to
// take. One that has exceeded its estimate, or every run so far, is expected to exceed it by
// as much again.
func (m *Model) Remaining(k Key, estimate time.Duration, hostSpeed float64, elapsed time.Duration) Expectation {
	speed := clampSpeed(hostSpeed)
	l := m.lookUp(k)
	if l == nil {
		return Exactly(UntilEnd(scale(float64(estimate), speed), elapsed))
	}
	d, unit := l.measure(estimate)
	t := d.table()
	elapsed = min(max(elapsed, 0), maxExpectation)
	below := t.below(float64(elapsed) * speed / unit)
	left := func(quantile float64) time.Duration {
		if below >= 1 {
			return UntilEnd(scale(t.at(1)*unit, speed), elapsed)
		}
		return max(scale(t.at(below+quantile*(1-below))*unit, speed)-elapsed, minRemaining)
	}
	return Expectation{Median: left(0.5), P90: left(0.9), P99: left(0.99), Samples: d.samples}
}

// lookUp returns what is known for a key; nil if that is not enough to be used.
func (m *Model) lookUp(k Key) *learned {
	l := m.keys[k]
	if l == nil {
		return nil
	}
	m.use(l)
	if !l.ready() {
		return nil
	}
	return l
}

func (m *Model) use(l *learned) {
	m.uses++
	l.usedAt = m.uses
}

// add adds a key. If there are too many, every admitEvery-th call does so in place of another
// key, and the others return nil.
func (m *Model) add(k Key) *learned {
	if len(m.keys) >= m.maxKeys {
		if m.turnedAway++; m.turnedAway < admitEvery {
			return nil
		}
		m.turnedAway = 0
		delete(m.keys, m.leastUseful())
		m.evicted++
	}
	l := newLearned()
	m.keys[k] = l
	return l
}

// leastUseful returns the least recently used key of those that are not ready, and of all if
// all are. Otherwise new keys with one run each would replace those that are in use.
func (m *Model) leastUseful() (victim Key) {
	var worst *learned
	for k, l := range m.keys {
		if worst == nil || l.ready() != worst.ready() && !l.ready() || l.ready() == worst.ready() && l.usedAt < worst.usedAt {
			victim, worst = k, l
		}
	}
	return victim
}

// UntilEnd returns how much longer a run is expected to take that should take a duration in
// all. One that has exceeded it is expected to exceed it by as much again, and by minOverdue
// at least.
func UntilEnd(whole, elapsed time.Duration) time.Duration {
	if left := whole - elapsed; left > 0 {
		return left
	}
	return max(elapsed-whole, minOverdue)
}

// scale returns a duration at normal speed, in nanoseconds, as one at a speed.
func scale(nanoseconds, speed float64) time.Duration {
	return time.Duration(min(max(nanoseconds/speed, 0), float64(maxExpectation)))
}

func clampSpeed(speed float64) float64 {
	if !(speed > 0) { // also if it is not a number
		return 1
	}
	return min(max(speed, minHostSpeed), maxHostSpeed)
}
