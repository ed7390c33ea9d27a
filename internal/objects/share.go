package objects

// Share is a team's part of a full cluster.
type Share struct {
	// Weight is relative to the weights of all other teams.
	Weight int64 `json:"weight" toml:"weight"`
	// MinimumPercent is the part of the sum of all weights that Weight must
	// reach; zero for no promise.
	MinimumPercent int64 `json:"minimum_percent,omitempty" toml:"minimum_percent"`
}
