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
func (ow *Owner) Dump() Dump {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return Dump{Token: ow.options.Self.Token, Reconciled: ow.reconciled.Load(), AuthorityValid: ow.authority.valid(), Cell: ow.scheduler.Dump()}
}

// Explain returns the reasons for the current state of a submission.
func (ow *Owner) Explain(id string) []string {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.scheduler.Explain(id)
}
