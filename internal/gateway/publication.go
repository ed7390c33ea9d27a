package gateway

import (
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// Publication is a set of object changes that is applied atomically.
type Publication struct {
	// ID makes retries idempotent: a repeated publication is recognised by it.
	ID     string `json:"id"`
	Author string `json:"author"`
	// BaseRevision is the revision that the changes were made against.
	BaseRevision uint64           `json:"base_revision"`
	Changes      []objects.Change `json:"changes"`
	// DryRun validates the changes without applying them.
	DryRun bool `json:"dry_run,omitempty"`
}

const (
	// MaxChanges bounds the number of changes in one publication.
	MaxChanges     = objects.MaxObjects
	maxAuthorBytes = 128
)

func (p Publication) check() *Problem {
	switch {
	case !idPattern.MatchString(p.ID):
		return invalidField("id", p.ID, idRule)
	case len(p.Author) > maxAuthorBytes:
		return invalidField("author", p.Author[:maxAuthorBytes], fmt.Sprintf("at most %d bytes", maxAuthorBytes))
	case len(p.Changes) == 0 || len(p.Changes) > MaxChanges:
		return invalidField("changes", fmt.Sprint(len(p.Changes)), fmt.Sprintf("1 to %d changes", MaxChanges))
	}
	for i, c := range p.Changes {
		if !c.Kind.Known() {
			return invalidField(fmt.Sprintf("changes[%d].kind", i), string(c.Kind), fmt.Sprintf("one of %v", objects.Kinds))
		}
		if c.Withdrawn != (len(c.Spec) == 0) {
			return invalidField(fmt.Sprintf("changes[%d].spec", i), string(c.Spec), "a spec, or withdrawn = true without one")
		}
	}
	return nil
}

// PublishResult is the result of an accepted publication.
type PublishResult struct {
	// Revision is the new revision, or the current one after a dry run.
	Revision uint64 `json:"revision"`
	DryRun   bool   `json:"dry_run,omitempty"`
	// Changes are those that differ from the base revision.
	Changes []objects.Change `json:"changes"`
}

// Conflict is the error of a publication whose base revision is out of date.
type Conflict struct {
	// Revision is the current revision.
	Revision uint64 `json:"revision"`
	// Changes lists the changes that were published since the base revision to
	// objects of the publication.
	Changes []objects.Change `json:"changes"`
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%d objects of the publication were changed since its base revision; the current revision is %d", len(c.Changes), c.Revision)
}
