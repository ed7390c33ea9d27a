package trial

// CallsPerHost limits the calls for advice about hosts that are not decided, for each host
// that a trial may take now. More work than that would ask about the same hosts.
const CallsPerHost = 2

// Pass is what one choice of hosts may take.
type Pass struct {
	// most is how many hosts may be held, held how many are, and calls how many more calls
	// for advice may be requested.
	most, held, calls int
}

// NewPass returns a pass in which at most some hosts may be held, of which some are. takes is
// how many hosts a trial may take now, inFlight the number of calls for advice in flight.
func NewPass(most, held, takes, inFlight int) *Pass {
	return &Pass{most: most, held: held, calls: CallsPerHost*max(min(takes, most-held), 1) - inFlight}
}

// Most returns how many hosts may be held.
func (p *Pass) Most() int { return p.most }

// Held returns how many hosts are held.
func (p *Pass) Held() int { return p.held }

// Full reports whether no more hosts may be held.
func (p *Pass) Full() bool { return p.held >= p.most }

// Over reports whether nothing more can be done in the pass.
func (p *Pass) Over() bool { return p.Full() && p.calls <= 0 }

// Take counts n hosts as held, and reports false if that would be too many.
func (p *Pass) Take(n int) bool {
	if p.held+n > p.most {
		return false
	}
	p.held += n
	return true
}

// MayAsk reports whether one more call for advice may be requested, Asked counts it.
func (p *Pass) MayAsk() bool { return p.calls > 0 }

// Asked counts a call for advice.
func (p *Pass) Asked() { p.calls-- }
