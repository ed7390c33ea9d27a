package registry

import (
	"bytes"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
	"github.com/medlarpulley/medlarpulley/platform"
)

// runTimes is the newest record of run times. The owner that takes it over decodes it.
type runTimes struct {
	value  []byte
	offset uint64
}

// RunTimesRecord returns the record of what an owner has learned about run times.
func RunTimesRecord(value []byte) platform.Record {
	return platform.Record{Key: keyRunTimes, Value: value}
}

func (r *Registry) applyRunTimes(rec platform.Record) error {
	if err := runtimes.CheckSize(object(rec), rec.Value); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Offset >= r.runTimes.offset {
		r.runTimes = runTimes{bytes.Clone(rec.Value), rec.Offset}
	}
	return nil
}

// RunTimes returns what the newest owner that stored it had learned about run times; empty if
// none has. The caller must not change it.
func (r *Registry) RunTimes() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.runTimes.value
}
