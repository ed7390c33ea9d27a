package ledger

import (
	"maps"
	"slices"
)

// configuration holds the current objects and the results of recent
// publications.
type configuration struct {
	// Revision is the number of accepted publications.
	Revision uint64             `json:"revision"`
	Objects  map[string]*Object `json:"objects"`
	// Withdrawn maps the key of a withdrawn object to the revision that withdrew it.
	Withdrawn map[string]uint64 `json:"withdrawn"`
	// ForgottenRevision is the highest revision among the entries that were
	// removed from Withdrawn to bound its size.
	ForgottenRevision uint64                       `json:"floor"`
	Results           map[string]publicationResult `json:"verdicts"`
	// ResultIDs are the keys of Results, oldest first.
	ResultIDs []string `json:"judged"`

	// sorted caches the objects in the order of their keys. Readers share the
	// slice, so it is replaced as a whole and never modified.
	sorted []*Object
}

func (c *configuration) init() {
	if c.Objects == nil {
		c.Objects = map[string]*Object{}
	}
	if c.Withdrawn == nil {
		c.Withdrawn = map[string]uint64{}
	}
	if c.Results == nil {
		c.Results = map[string]publicationResult{}
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

// lastChange returns the revision that last changed an object. For an unknown
// object it is ForgottenRevision, because the object may have been withdrawn up
// to that revision.
func (c *configuration) lastChange(key string) uint64 {
	if o := c.Objects[key]; o != nil {
		return o.Changed
	}
	if revision, ok := c.Withdrawn[key]; ok {
		return revision
	}
	return c.ForgottenRevision
}

// withdraw records the withdrawal of an object. If there are more than
// MaxWithdrawnObjects, it removes the entry that was withdrawn first.
func (c *configuration) withdraw(key string, revision uint64) {
	c.Withdrawn[key] = revision
	if len(c.Withdrawn) <= MaxWithdrawnObjects {
		return
	}
	victim := ""
	for key, r := range c.Withdrawn {
		if victim == "" || r < c.Withdrawn[victim] || (r == c.Withdrawn[victim] && key < victim) {
			victim = key
		}
	}
	c.ForgottenRevision = max(c.ForgottenRevision, c.Withdrawn[victim])
	delete(c.Withdrawn, victim)
}

// storeResult stores the result of a publication, in place of the oldest result
// if there are MaxStoredResults of them.
func (c *configuration) storeResult(id string, result publicationResult) {
	if len(c.ResultIDs) >= MaxStoredResults {
		delete(c.Results, c.ResultIDs[0])
		c.ResultIDs = slices.Delete(c.ResultIDs, 0, 1)
	}
	c.ResultIDs = append(c.ResultIDs, id)
	c.Results[id] = result
}
