package schedule

import "slices"

// shareOrder sorts the entries of one rank by the shares of their teams. The entries of each
// team are in this order already, so that merging them is enough.
type shareOrder struct {
	// next is the position of the next entry of the same team, -1 if there is none.
	next []int
	// heads is a heap of the positions of the first entry that is left of each team.
	heads  []int
	merged []queueEntry
	q      []queueEntry
}

// sort sorts a queue that is sorted by rank and laxity: in each rank, entries without a claim
// come first, then those within the shares of their teams, then excess ones, by level.
func (o *shareOrder) sort(q []queueEntry) {
	for from := 0; from < len(q); {
		to := from + 1
		for to < len(q) && q[to].rank == q[from].rank {
			to++
		}
		o.sortRank(q[from:to])
		from = to
	}
}

func (o *shareOrder) sortRank(q []queueEntry) {
	o.q, o.next, o.merged = q, slices.Grow(o.next[:0], len(q))[:len(q)], o.merged[:0]
	for i := range q {
		o.next[i] = -1
		t := q[i].group.job.team
		switch {
		case !q[i].excess && q[i].level == 0:
			o.merged = append(o.merged, q[i])
			continue
		case t.firstEntry == 0:
			t.firstEntry = i + 1
		default:
			o.next[t.lastEntry] = i
		}
		t.lastEntry = i
	}
	if len(o.merged) == len(q) {
		return
	}
	o.collectHeads()
	for len(o.heads) > 0 {
		i := o.heads[0]
		o.merged = append(o.merged, q[i])
		if o.heads[0] = o.next[i]; o.next[i] < 0 {
			o.heads[0] = o.heads[len(o.heads)-1]
			o.heads = o.heads[:len(o.heads)-1]
		}
		o.down(0)
	}
	copy(q, o.merged)
}

// collectHeads makes a heap of the first entries of the teams.
func (o *shareOrder) collectHeads() {
	o.heads = o.heads[:0]
	for i := range o.q {
		if t := o.q[i].group.job.team; t.firstEntry == i+1 {
			o.heads, t.firstEntry = append(o.heads, i), 0
		}
	}
	for i := len(o.heads)/2 - 1; i >= 0; i-- {
		o.down(i)
	}
}

// down restores the heap below a position.
func (o *shareOrder) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(o.heads); child++ {
			if o.before(o.heads[child], o.heads[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		o.heads[i], o.heads[least] = o.heads[least], o.heads[i]
		i = least
	}
}

// before reports whether an entry comes before another one.
func (o *shareOrder) before(i, j int) bool {
	a, b := &o.q[i], &o.q[j]
	if a.excess != b.excess {
		return b.excess
	}
	if a.level != b.level {
		return a.level < b.level
	}
	return i < j
}
