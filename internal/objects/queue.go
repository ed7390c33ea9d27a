package objects

// Queue is a queue of jobs. It is either open or lists the teams that may use it.
type Queue struct {
	Teams []string `json:"teams,omitempty" toml:"teams"`
	// Open means that jobs of any team are accepted, even without a key.
	Open bool `json:"open,omitempty" toml:"open"`
	// Priority orders the queues of one team; the highest is served first.
	Priority int64 `json:"priority,omitempty" toml:"priority"`
}
