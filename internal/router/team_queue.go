package router

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// classOrder is the order in which classes are served.
var classOrder = [...]work.Class{work.Urgent, work.Normal, work.Background}

// teamQueue is the waiting requests of one team.
type teamQueue struct {
	name     string
	weight   int64
	limit    int
	inFlight int
	waiting  [len(classOrder)][]Ticket
	// recent is the highest number in flight of the last seconds.
	recent  int
	decayed time.Duration
	// pass is the slot time used, divided by the weight.
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

// ahead is the number of requests of the team that go before one of a class.
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
