package scheduler

import "github.com/medlarpulley/medlarpulley/internal/resource"

// sizeDemand counts the waiting tasks of one team and size. cost is what one of
// them takes in the limit.
type sizeDemand struct {
	size        resource.Vector
	tasks, cost int64
}

// sizeDemands lists the sizes of the waiting tasks of one team.
type sizeDemands struct {
	list  []sizeDemand
	index map[resource.Vector]int
}

// add adds n tasks, which may be negative.
func (d *sizeDemands) add(size resource.Vector, cost, n int64) {
	i, ok := d.index[size]
	if !ok {
		i = len(d.list)
		d.index[size] = i
		d.list = append(d.list, sizeDemand{size: size, cost: cost})
	}
	if d.list[i].tasks += n; d.list[i].tasks != 0 {
		return
	}
	last := len(d.list) - 1
	d.list[i] = d.list[last]
	d.index[d.list[i].size] = i
	delete(d.index, size)
	d.list = d.list[:last]
}

func (d *sizeDemands) reset() {
	clear(d.index)
	d.list = d.list[:0]
}

// usableUnits returns the units that the tasks take, for each size at most as many
// tasks as the hosts hold while they are empty.
func (d *sizeDemands) usableUnits(r *readyCapacities) int64 {
	units := int64(0)
	for i := range d.list {
		units += d.list[i].cost * r.held(d.list[i].tasks, d.list[i].size)
	}
	return units
}
