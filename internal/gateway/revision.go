package gateway

import "github.com/medlarpulley/medlarpulley/internal/objects"

// ObjectQuery selects objects of the current revision.
type ObjectQuery struct {
	// Kind and Name match everything if empty.
	Kind objects.Kind
	Name string
}

// ObjectList is the result of an ObjectQuery.
type ObjectList struct {
	Revision uint64           `json:"revision"`
	Objects  []objects.Object `json:"objects"`
}

// RevisionDiff lists the changes between two revisions.
type RevisionDiff struct {
	From    uint64           `json:"from"`
	To      uint64           `json:"to"`
	Changes []objects.Change `json:"changes"`
}

// RevisionStatus says on which entry nodes a revision is in force.
type RevisionStatus struct {
	Revision uint64 `json:"revision"`
	// Current is the highest revision that this node knows.
	Current uint64 `json:"current"`
	// Members is the number of live entry nodes.
	Members int `json:"members"`
	// InForce is the number of live entry nodes at Revision or above.
	InForce int `json:"in_force"`
	// Behind names the live entry nodes below Revision.
	Behind []string `json:"behind,omitempty"`
}
