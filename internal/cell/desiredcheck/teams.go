package desiredcheck

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

var limitFields = [...]cell.DesiredField{cell.FieldCPULimit, cell.FieldMemoryLimit, cell.FieldAccelLimit}

func (c *checker) teams() {
	seen, holders := make(map[string]bool), make(map[string]int)
	weighted := slices.ContainsFunc(c.doc.Teams, func(t cell.Team) bool { return t.Weight > 0 })
	for i, t := range c.doc.Teams {
		o := Object{cell.DesiredTeam, t.Name, i}
		c.name(o, seen)
		c.keys(o, t.Keys, holders)
		nonNegative(c, o, cell.FieldWeight, t.Weight)
		if t.Weight == 0 && weighted {
			c.add(Warning, o, cell.FieldWeight, t.Weight, "more than 0, as others have; 0 means no limit of submissions")
		}
		for d, f := range limitFields {
			number(c, o, f, t.Limit.At(d), cell.MaxTeamLimit)
		}
	}
}

// keys reports keys without effect. Calls with a public queue have no team, so a team
// without keys can submit nowhere. holders maps each key to the index of its team.
func (c *checker) keys(o Object, keys []string, holders map[string]int) {
	usable := false
	for _, k := range keys {
		holder, held := holders[k]
		switch {
		case k == "":
			c.add(Error, o, cell.FieldKeys, k, "keys that are not empty")
			continue
		case held && holder == o.Index:
			c.add(Warning, o, cell.FieldKeys, mask(k), "each key only once")
		case held:
			c.add(Error, o, cell.FieldKeys, mask(k), "a key that "+cell.Quote(c.doc.Teams[holder].Name)+" does not hold")
		default:
			holders[k] = o.Index
		}
		usable = true
	}
	if !usable {
		c.add(Warning, o, cell.FieldKeys, "", "at least one key; without one the team cannot submit")
	}
}
