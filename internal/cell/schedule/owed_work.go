package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/fairshare"

// priorityClasses is how many priorities are told apart; lower ones count as the last.
const priorityClasses = 4

// owedWork is work that is owed room, by the priority of its queue.
type owedWork [priorityClasses]fairshare.Amounts

// add adds n times the work of a group; n is negative if it has started.
func (o *owedWork) add(g *group, work fairshare.Amounts, n float64) {
	class := g.priorityClass()
	o[class] = o[class].Plus(work.Scale(n))
}

// before returns the work that comes before that of a group by priority, or is of the same.
func (o *owedWork) before(g *group) (sum fairshare.Amounts) {
	for class := range g.priorityClass() + 1 {
		sum = sum.Plus(o[class])
	}
	return sum
}

// all returns the work of all priorities.
func (o *owedWork) all() (sum fairshare.Amounts) {
	for _, work := range o {
		sum = sum.Plus(work)
	}
	return sum
}

func (g *group) priorityClass() int { return min(max(g.job.queue.Priority, 0), priorityClasses-1) }
