package ledger

import (
	"maps"
	"slices"
)

// configuration is the set of objects in force.
type configuration struct {
	// Revision counts the accepted publications.
	Revision uint64             `json:"revision"`
	Objects  map[string]*Object `json:"objects"`
	// Withdrawn maps an object that is gone to the revision that withdrew it.
	Withdrawn map[string]uint64 `json:"withdrawn"`
	// Floor is the highest revision of a withdrawn object that was forgotten.
	Floor    uint64               `json:"floor"`
	Verdicts map[string]judgement `json:"verdicts"`
	// Judged are the keys of Verdicts, oldest first.
	Judged []string `json:"judged"`

	// sorted caches the objects by kind and name. It is replaced, never changed.
	sorted []*Object
}

func (c *configuration) init() {
	if c.Objects == nil {
		c.Objects = map[string]*Object{}
	}
	if c.Withdrawn == nil {
		c.Withdrawn = map[string]uint64{}
	}
	if c.Verdicts == nil {
		c.Verdicts = map[string]judgement{}
	}
	c.sorted = sortObjects(c.Objects)
}

func sortObjects(objects map[string]*Object) []*Object {
	sorted := make([]*Object, 0, len(objects))
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		sorted = append(sorted, objects[key])
	}
	return sorted
}

// changed returns the revision that last changed an object. For an object of
// which nothing is known, it is the highest revision that was forgotten.
func (c *configuration) changed(key string) uint64 {
	if o := c.Objects[key]; o != nil {
		return o.Changed
	}
	if revision, ok := c.Withdrawn[key]; ok {
		return revision
	}
	return c.Floor
}

// withdraw notes that an object is gone, and forgets the object that is gone
// for the longest time if there are too many.
func (c *configuration) withdraw(key string, revision uint64) {
	c.Withdrawn[key] = revision
	if len(c.Withdrawn) <= MaxWithdrawn {
		return
	}
	victim := ""
	for key, r := range c.Withdrawn {
		if victim == "" || r < c.Withdrawn[victim] || (r == c.Withdrawn[victim] && key < victim) {
			victim = key
		}
	}
	c.Floor = max(c.Floor, c.Withdrawn[victim])
	delete(c.Withdrawn, victim)
}

// judge remembers the verdict on a publication.
func (c *configuration) judge(id string, j judgement) {
	if len(c.Judged) >= MaxVerdicts {
		delete(c.Verdicts, c.Judged[0])
		c.Judged = slices.Delete(c.Judged, 0, 1)
	}
	c.Judged = append(c.Judged, id)
	c.Verdicts[id] = j
}
