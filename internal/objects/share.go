package objects

// Share determines which part of a fully used cluster a team gets.
type Share struct {
	// Weight is relative to the weights of all other teams.
	Weight int64 `json:"weight" toml:"weight"`
	// MinimumPercent is the guaranteed minimum of Weight, in percent of the sum
	// of the weights of all teams; zero for no guarantee.
	MinimumPercent int64 `json:"minimum_percent,omitempty" toml:"minimum_percent"`
}
