package registry

import (
	"crypto/rand"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// TombstoneBytes is the memory that a tombstone takes.
const TombstoneBytes = 600

// tombstoneSeparator separates the ID of a submission from the random name of a tombstone.
// IDs do not contain it.
const tombstoneSeparator = "/"

// Tombstone is the cancellation of a submission that was not stored when it was cancelled. An
// append of the submission may have been open at any node. The submission is cancelled whether
// it is stored before the tombstone or after it.
type Tombstone struct {
	// Principal is who cancelled. Submissions of others under the same ID are not concerned.
	cell.Principal
}

// TombstoneRecord returns the record of a new tombstone for an ID. Each tombstone has a key of
// its own, so that the deletion of an old one leaves a later one of the same ID in force.
func TombstoneRecord(id string, t Tombstone) platform.Record {
	return record(prefixTombstone+id+tombstoneSeparator+rand.Text(), t)
}

// TombstoneDeletionRecord returns the record that deletes the tombstone with a key.
func TombstoneDeletionRecord(key string) platform.Record { return platform.Record{Key: key} }

// tombstoneID returns the ID of the submission from the key of a tombstone; empty if the key is
// none of a tombstone.
func tombstoneID(key string) string {
	name, _ := strings.CutPrefix(key, prefixTombstone)
	id, _, _ := strings.Cut(name, tombstoneSeparator)
	return id
}
