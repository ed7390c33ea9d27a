package ledger

import "github.com/rotisserie/eris"

// ErrOld means that a record or snapshot is not newer than the state.
var ErrOld = eris.New("offset is not newer than the state")

// ErrGap means that records between the state and the given one are missing.
var ErrGap = eris.New("records are missing before the offset")

// ErrSnapshot means that a snapshot cannot be decoded or is inconsistent.
var ErrSnapshot = eris.New("snapshot is malformed")
