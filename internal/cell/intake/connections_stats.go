package intake

// ConnectionsStats is the state of the connections of an address, as numbers of
// connections.
type ConnectionsStats struct {
	Limit   int `json:"limit"`
	Open    int `json:"open"`
	Waiting int `json:"waiting"`
	// Evicted counts the connections that gave way to new ones, Refused the new ones to
	// which none could give way.
	Evicted uint64 `json:"evicted"`
	Refused uint64 `json:"refused"`
}
