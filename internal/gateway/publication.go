package gateway

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// Publication changes objects as a whole or not at all.
type Publication struct {
	// ID identifies the publication, so that a repeated one is recognised.
	ID     string `json:"id"`
	Author string `json:"author"`
	// BaseRevision is the revision that the changes were made against.
	BaseRevision uint64           `json:"base_revision"`
	Changes      []objects.Change `json:"changes"`
	// DryRun only checks.
	DryRun bool `json:"dry_run,omitempty"`
}

const (
	// MaxChanges bounds the changes of one publication.
	MaxChanges = objects.MaxObjects
	maxAuthor  = 128
)

func (p Publication) check() *Problem {
	switch {
	case !idPattern.MatchString(p.ID):
		return badField("id", p.ID, idRule)
	case len(p.Author) > maxAuthor:
		return badField("author", p.Author[:maxAuthor], fmt.Sprintf("at most %d bytes", maxAuthor))
	case len(p.Changes) == 0 || len(p.Changes) > MaxChanges:
		return badField("changes", fmt.Sprint(len(p.Changes)), fmt.Sprintf("1 to %d changes", MaxChanges))
	}
	for i, c := range p.Changes {
		if !c.Kind.Known() {
			return badField(fmt.Sprintf("changes[%d].kind", i), string(c.Kind), fmt.Sprintf("one of %v", objects.Kinds))
		}
		if c.Withdrawn != (len(c.Spec) == 0) {
			return badField(fmt.Sprintf("changes[%d].spec", i), string(c.Spec), "a spec, or withdrawn = true without one")
		}
	}
	return nil
}

// PublishResult is an accepted publication.
type PublishResult struct {
	// Revision is the new revision, or the current one of a dry run.
	Revision uint64 `json:"revision"`
	DryRun   bool   `json:"dry_run,omitempty"`
	// Changes are those that differ from the base.
	Changes []objects.Change `json:"changes"`
}

// Conflict is the error of a publication whose base is out of date.
type Conflict struct {
	// Revision is the current revision.
	Revision uint64 `json:"revision"`
	// Changes were published since the base to objects of the publication.
	Changes []objects.Change `json:"changes"`
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%d objects of the publication changed up to revision %d", len(c.Changes), c.Revision)
}
