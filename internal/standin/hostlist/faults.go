package hostlist

import "time"

// Faults are what the list does wrong. The zero value is a sound list.
type Faults struct {
	// Away makes the list refuse every call: 503 over HTTP.
	Away bool `json:"away"`
	// Lag is the age of the served view.
	Lag time.Duration `json:"lag_nanos"`
	// Missing are ids of hosts that are left out.
	Missing []string `json:"missing"`
	// Resurrected are ids of hosts that are reported in their last form
	// although they are gone.
	Resurrected []string `json:"resurrected"`
}
