package crash

import "time"

// Risks holds the risk of each queue by name.
type Risks map[string]*Risk

// Of returns the risk of a queue.
func (r Risks) Of(queue string, now time.Duration) *Risk {
	k := r[queue]
	if k == nil {
		k = &Risk{At: now}
		r[queue] = k
	}
	return k
}

// ForgetOld removes the queues from which nothing has started for a long time.
func (r Risks) ForgetOld(now time.Duration) {
	for name, k := range r {
		if now > k.At+ForgetRiskAfter {
			delete(r, name)
		}
	}
}

// BeginCount sets what is counted anew in each decision to zero. It reports whether any queue
// is risky, so that it has to be counted.
func (r Risks) BeginCount(now time.Duration) (risky bool) {
	for _, k := range r {
		k.Down, k.Unproven, k.Preparing = 0, 0, 0
		risky = risky || k.Exceeds(RiskyShare, now)
	}
	return risky
}
