package runtimes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// MaxSnapshotBytes bounds a snapshot that is restored, and the record that holds it.
	MaxSnapshotBytes = 128 << 10
	// writtenBytes bounds one that is written, so that its writer can add to it. It holds
	// about 90 keys with two full histograms each; those used last come first.
	writtenBytes = 96 << 10
	// snapshotVersion is that of the format. Snapshots of other versions are not restored.
	snapshotVersion = 1
)

// snapshot is the stored form of a Model.
type snapshot struct {
	Version int           `json:"version"`
	Keys    []keySnapshot `json:"keys"`
}

// Snapshot returns the model in a form for Restore, at most 96 KiB; nil if it has
// no runs.
func (m *Model) Snapshot() []byte {
	if len(m.keys) == 0 {
		return nil
	}
	const frame = 64 // the bytes around the keys
	size := frame
	s := struct {
		Version int               `json:"version"`
		Keys    []json.RawMessage `json:"keys"`
	}{Version: snapshotVersion}
	for _, k := range m.newestKeys() {
		data, err := json.Marshal(snapshotOf(k, m.keys[k]))
		if err != nil {
			continue
		}
		if size+len(data)+1 > writtenBytes {
			break // to merge and encode the others too would hold the owner's lock for long
		}
		size += len(data) + 1
		s.Keys = append(s.Keys, data)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return data
}

// CheckSize returns an error that names an object if its data exceed MaxSnapshotBytes.
func CheckSize(object string, data []byte) error {
	if len(data) > MaxSnapshotBytes {
		return cell.NewFieldError(object, "size", len(data), fmt.Sprintf("at most %d bytes", MaxSnapshotBytes))
	}
	return nil
}

// newestKeys returns the keys, the one used last first.
func (m *Model) newestKeys() []Key {
	keys := make([]Key, 0, len(m.keys))
	for k := range m.keys {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(m.keys[b].usedAt, m.keys[a].usedAt) })
	return keys
}

// Restore replaces the content of the model by that of a snapshot. The model is unchanged if
// the snapshot is malformed.
func (m *Model) Restore(data []byte) error {
	if err := CheckSize("the snapshot of run times", data); err != nil {
		return err
	}
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "decode the snapshot of run times")
	}
	if s.Version != snapshotVersion {
		return cell.NewFieldError("the snapshot of run times", "version", s.Version, strconv.Itoa(snapshotVersion))
	}
	keys := make(map[Key]*learned, len(s.Keys))
	for i, k := range s.Keys[:min(len(s.Keys), m.maxKeys)] {
		l, err := k.learned()
		if err != nil {
			return err
		}
		l.usedAt = int64(-i) // the first one was used last
		keys[Key{k.Queue, k.Step}] = l
	}
	m.keys, m.uses = keys, 0
	return nil
}
