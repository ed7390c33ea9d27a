package node

import (
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// maxRefusedEntries bounds the odd entries that are remembered and logged.
const maxRefusedEntries = 500

// hostEntries decodes the entries of the host list. Other writers may leave odd entries
// there and write them again and again; each is logged when it appears or changes.
type hostEntries struct {
	// refused holds the fault of each odd entry by key.
	refused map[string]string
	// tooMany is set once further odd entries are not logged.
	tooMany bool
}

// decode decodes the entry of a host. ok is false if it names no host to use.
func (e *hostEntries) decode(log *slog.Logger, r platform.Record) (h cell.Host, ok bool) {
	h, err := platform.DecodeHost(r.Key, r.Value)
	if err == nil {
		delete(e.refused, r.Key)
		return h, true
	}
	e.logRefusal(log, r.Key, err.Error())
	return cell.Host{}, false
}

func (e *hostEntries) logRefusal(log *slog.Logger, key, fault string) {
	last, known := e.refused[key]
	switch {
	case known && last == fault:
		return
	case !known && len(e.refused) >= maxRefusedEntries:
		if !e.tooMany {
			log.Warn("hosts: There are too many invalid entries; no further ones are logged.", "count", len(e.refused))
		}
		e.tooMany = true
		return
	case e.refused == nil:
		e.refused = make(map[string]string)
	}
	e.refused[key] = fault
	log.Warn("hosts: The entry of a host is invalid; the host counts as missing.", "error", fault)
}
