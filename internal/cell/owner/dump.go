package owner

import "github.com/medlarpulley/medlarpulley/internal/cell/schedule"

// Dump is the state of a term in a form for operators.
type Dump struct {
	Token          int64         `json:"token"`
	Reconciled     bool          `json:"settled"`
	AuthorityValid bool          `json:"authority_holds"`
	Cell           schedule.Dump `json:"cell"`
}

// Dump returns the state of the term.
func (w *Owner) Dump() Dump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Dump{Token: w.options.Self.Token, Reconciled: w.reconciled, AuthorityValid: w.authority.valid(), Cell: w.scheduler.Dump()}
}

// Explain returns the reasons for the current state of a submission.
func (w *Owner) Explain(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Explain(id)
}
