package gangroom

import "time"

// leadDivisor sets how much earlier or later than expected capacity may become free: by one part
// in leadDivisor of the validity of a ticket. Tickets are renewed that much earlier than needed,
// and count as too short if they expire earlier than that after the planned time. The rest of
// the validity covers the delay until the renewal is planned.
const leadDivisor = 4

// Wait describes the wait of a gang for the capacity that is planned on approved hosts.
type Wait struct {
	// Planned is how long it takes until the capacity is expected to be free.
	Planned time.Duration
	// Tickets is how much longer the tickets on the planned hosts are all valid.
	Tickets time.Duration
	// Validity is how long a new ticket is valid.
	Validity time.Duration
	// Renewal and Search are how long calls take that renew the tickets on the planned hosts
	// and that name hosts which are neither approved nor denied.
	Renewal, Search time.Duration
}

// lead returns the margin for errors in the expected ends of runs.
func (w Wait) lead() time.Duration { return w.Validity / leadDivisor }

// ticketsSuffice reports whether the tickets are valid until the gang is expected to start.
func (w Wait) ticketsSuffice() bool { return w.Tickets >= w.Planned+w.lead() }

// RenewalDue reports whether the tickets have to be renewed now, so that they are valid when the
// capacity becomes free and do not expire before.
func (w Wait) RenewalDue() bool {
	return w.Planned <= w.Renewal+w.lead() && !w.ticketsSuffice()
}

// SearchUseful reports whether a call about undecided hosts may let the gang start earlier
// without delaying a renewal. Capacity that stays due for long does not rule such calls out for
// ever, since an overdue run is expected to take as long again as it is overdue.
func (w Wait) SearchUseful() bool {
	if w.ticketsSuffice() {
		return w.Search < w.Planned
	}
	return w.Search <= w.Planned-w.Renewal-w.lead()
}
