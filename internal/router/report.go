package router

import "time"

// RunnerReport is the state of one runner, as shown to operators.
type RunnerReport struct {
	ID       string        `json:"id"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	Slots    int           `json:"slots"`
	Held     int           `json:"held"`
	InFlight int           `json:"in_flight"`
	Unknown  int           `json:"unknown"`
	Latency  time.Duration `json:"latency_ns"`
	Failures int           `json:"failures"`
	Ejected  bool          `json:"ejected"`
	Leaving  bool          `json:"leaving"`
}

// Report returns the state of all runners, ordered by id.
func (t *Table) Report(now time.Duration) []RunnerReport {
	out := make([]RunnerReport, 0, len(t.runners))
	for _, r := range t.runners {
		held := 0
		if now < r.leaseEndsAt {
			held = r.leased
		}
		out = append(out, RunnerReport{
			ID: r.ID, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Held: held,
			InFlight: len(r.inFlight), Unknown: len(r.unknown), Latency: r.latency,
			Failures: r.failures, Ejected: r.ejected, Leaving: r.isLeaving(),
		})
	}
	return out
}
