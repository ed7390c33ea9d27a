package ganghold

import "maps"

// Dump is the state of a coordinator for operators.
type Dump struct {
	Phase string `json:"phase"`
	// Try counts the attempts to hold all parts.
	Try     uint64 `json:"try"`
	Held    int    `json:"held"`
	Backoff string `json:"backoff"`
	// States are the last answers, by shard.
	States map[string]State `json:"states"`
}

var phaseNames = [...]string{watching: "watching", holding: "holding", confirming: "confirming"}

// Dump returns a copy of the state.
func (c *Coordinator) Dump() Dump {
	return Dump{
		Phase: phaseNames[c.phase], Try: c.try, Held: c.held, Backoff: c.backoff.String(), States: maps.Clone(c.states),
	}
}
