package requests

import "github.com/medlarpulley/medlarpulley/internal/work"

// Team is what the configuration says about the requests of a team.
type Team struct {
	Name string
	// Weight is the team's share relative to other teams; at least 1.
	Weight int64
	// MaxInFlight bounds the team's requests in flight on this node; 0 is no bound.
	MaxInFlight int
	// Classes are the classes the team may use; nil allows all.
	Classes []work.Class
}
