package hostlist

import "time"

// Faults are the faults that the host list simulates. The zero value means none.
type Faults struct {
	// Unavailable makes every read of the list fail, with status 503 over HTTP.
	Unavailable bool `json:"away"`
	// Lag is the minimum age of the served snapshot.
	Lag time.Duration `json:"lag_nanos"`
	// Missing are the IDs of hosts that the list omits.
	Missing []string `json:"missing"`
	// Resurrected are the IDs of removed hosts that the list still reports, as
	// they were last set.
	Resurrected []string `json:"resurrected"`
}
