package objects

// Queue orders jobs. It is either open to all or lists its teams.
type Queue struct {
	Teams []string `json:"teams,omitempty" toml:"teams"`
	// Open accepts work for any team, also without a key.
	Open bool `json:"open,omitempty" toml:"open"`
	// Priority orders the queues of one team; higher first.
	Priority int64 `json:"priority,omitempty" toml:"priority"`
}
