package owner

import "github.com/medlarpulley/medlarpulley/internal/cell/schedule"

// Dump is the state of a term for people.
type Dump struct {
	Token   int64         `json:"token"`
	Settled bool          `json:"settled"`
	Holds   bool          `json:"authority_holds"`
	Cell    schedule.Dump `json:"cell"`
}

// Dump returns the state of the term.
func (w *Owner) Dump() Dump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Dump{Token: w.o.Self.Token, Settled: w.settled, Holds: w.authority.holds(), Cell: w.scheduler.Dump()}
}

// Explain returns why a submission is as it is.
func (w *Owner) Explain(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Explain(id)
}
