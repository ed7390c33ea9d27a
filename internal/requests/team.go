package requests

import "github.com/medlarpulley/medlarpulley/internal/work"

// Team is the configuration of a team for its requests.
type Team struct {
	Name string
	// Weight is the team's share relative to other teams; at least 1.
	Weight int64
	// MaxInFlight bounds the team's requests in flight on this node; 0 means no
	// limit.
	MaxInFlight int
	// Classes are the classes that the team may use; nil allows all.
	Classes []work.Class
}
