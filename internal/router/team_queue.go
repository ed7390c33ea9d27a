package router

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// classOrder is the order in which classes are served.
var classOrder = [...]work.Class{work.Urgent, work.Normal, work.Background}

// teamQueue holds the waiting requests and the use of slots of one team.
type teamQueue struct {
	name     string
	weight   int64
	limit    int
	inFlight int
	waiting  [len(classOrder)][]Ticket
	// recentPeak is the decaying peak of the requests in flight.
	recentPeak int
	decayedAt  time.Duration
	// pass is the slot time used, divided by the weight, as in stride scheduling.
	// The team with the lowest pass is served next.
	pass time.Duration
}

func (q *teamQueue) length() int {
	n := 0
	for _, w := range q.waiting {
		n += len(w)
	}
	return n
}

func (q *teamQueue) idle() bool { return q.inFlight == 0 && q.length() == 0 }

// ahead returns the number of waiting requests of the team that are served before
// a new one of the class.
func (q *teamQueue) ahead(class work.Class) int {
	n := 0
	for _, c := range classOrder {
		n += len(q.waiting[c])
		if c == class {
			break
		}
	}
	return n
}
