package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// MaxSnapshotBytes is the maximum decompressed size of a snapshot.
const MaxSnapshotBytes = 256 << 20

// Snapshot returns the state as compressed JSON. The encoding is deterministic:
// equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, eris.Wrap(err, "encode the ledger state")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the ledger state")
	}
	return buffer.Bytes(), nil
}

// FromSnapshot decodes the state in a snapshot. The error is ErrInvalidSnapshot if
// it cannot be decoded or is inconsistent.
func FromSnapshot(opts Options, data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrInvalidSnapshot, err.Error())
	}
	s := &State{}
	limited := io.LimitReader(r, MaxSnapshotBytes)
	if err := json.NewDecoder(limited).Decode(s); err != nil {
		return nil, eris.Wrap(ErrInvalidSnapshot, err.Error())
	}
	// The gzip reader verifies the checksum only at the end of the data.
	if _, err := io.Copy(io.Discard, limited); err != nil {
		return nil, eris.Wrap(ErrInvalidSnapshot, err.Error())
	}
	if !s.isValid() {
		return nil, eris.Wrap(ErrInvalidSnapshot, "entries are missing")
	}
	s.opts = opts
	s.init()
	return s, nil
}

// isValid reports whether a decoded state is usable: no entry is nil, the limits
// add up and the offset is valid.
func (s *State) isValid() bool {
	for _, l := range s.Limits {
		if l == nil || !l.balanced() {
			return false
		}
	}
	return s.NextOffset >= FirstOffset &&
		hasNoNil(s.Senders) && hasNoNil(s.Config.Objects) && s.Ownership != nil &&
		hasNoNil[work.JobID](s.Jobs)
}

func hasNoNil[K comparable, V any](m map[K]*V) bool {
	for _, v := range m {
		if v == nil {
			return false
		}
	}
	return true
}
