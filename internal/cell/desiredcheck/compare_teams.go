package desiredcheck

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

func (c *checker) compareTeams(o Object, from, to cell.Team) {
	for _, k := range to.Keys {
		if k != "" && !slices.Contains(from.Keys, k) {
			c.add(Difference, o, cell.FieldKeys, mask(k), "added")
		}
	}
	for _, k := range from.Keys {
		if k != "" && !slices.Contains(to.Keys, k) {
			c.add(Difference, o, cell.FieldKeys, mask(k), "removed")
			c.add(Warning, o, cell.FieldKeys, mask(k), "kept while callers use it; their calls are refused at once")
		}
	}
	lowered(c, o, cell.FieldWeight, from.Weight, to.Weight)
	for d, f := range limitFields {
		lowered(c, o, f, from.Limit.At(d), to.Limit.At(d))
	}
}
