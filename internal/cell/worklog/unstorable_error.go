package worklog

import (
	"fmt"
	"slices"
)

// UnstorableError is returned if the store can never take some of the records of a call.
// The others are stored.
type UnstorableError struct {
	// Keys are the keys of the records that are not stored.
	Keys []string
}

func (e *UnstorableError) Error() string {
	return fmt.Sprintf("%d records can never be stored, the first under %.60q", len(e.Keys), e.Keys[0])
}

// Has reports whether the record of a key was left out.
func (e *UnstorableError) Has(key string) bool { return slices.Contains(e.Keys, key) }
