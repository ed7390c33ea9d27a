package ganghold

import "maps"

// Dump is a snapshot of a coordinator for operators.
type Dump struct {
	Phase string `json:"phase"`
	// Try is the number of tries to hold all parts so far.
	Try     uint64 `json:"try"`
	Held    int    `json:"held"`
	Backoff string `json:"backoff"`
	// States are the answers to the current poll, by shard.
	States map[string]State `json:"states"`
}

var phaseNames = [...]string{watching: "watching", holding: "holding", confirming: "confirming"}

// Dump returns a snapshot of the coordinator.
func (c *Coordinator) Dump() Dump {
	return Dump{
		Phase: phaseNames[c.phase], Try: c.try, Held: c.granted, Backoff: c.backoff.String(), States: maps.Clone(c.states),
	}
}
