package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// MaxSnapshotBytes bounds the decoded size of a snapshot.
const MaxSnapshotBytes = 256 << 20

// Snapshot returns the state in a deterministic form: equal states have equal
// bytes.
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

// FromSnapshot returns the state that a snapshot holds. The error is
// ErrSnapshot if it cannot be decoded.
func FromSnapshot(opts Options, data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrSnapshot, err.Error())
	}
	s := &State{}
	limited := io.LimitReader(r, MaxSnapshotBytes)
	if err := json.NewDecoder(limited).Decode(s); err != nil {
		return nil, eris.Wrap(ErrSnapshot, err.Error())
	}
	// The checksum is verified at the end of the data.
	if _, err := io.Copy(io.Discard, limited); err != nil {
		return nil, eris.Wrap(ErrSnapshot, err.Error())
	}
	if !s.complete() {
		return nil, eris.Wrap(ErrSnapshot, "entries are missing")
	}
	s.opts = opts
	s.init()
	return s, nil
}

// complete reports whether a decoded state can be used without a nil entry.
func (s *State) complete() bool {
	for _, l := range s.Limits {
		if l == nil || !l.balanced() {
			return false
		}
	}
	return s.NextOffset >= FirstOffset &&
		allSet(s.Senders) && allSet(s.Config.Objects) && s.Book != nil &&
		allSet[work.JobID](s.Jobs)
}

func allSet[K comparable, V any](m map[K]*V) bool {
	for _, v := range m {
		if v == nil {
			return false
		}
	}
	return true
}
