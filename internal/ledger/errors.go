package ledger

import "github.com/rotisserie/eris"

// ErrNotNewer means that a record or snapshot is not newer than the state, which
// therefore covers it already.
var ErrNotNewer = eris.New("offset is not newer than the state")

// ErrMissingRecords means that records between the state and the given record are
// missing.
var ErrMissingRecords = eris.New("records are missing before the offset")

// ErrInvalidSnapshot means that a snapshot cannot be decoded or is inconsistent.
var ErrInvalidSnapshot = eris.New("snapshot is malformed")
