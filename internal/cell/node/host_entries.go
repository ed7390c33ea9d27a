package node

import (
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/platform"
)

// hostEntries decodes the entries of the host list.
type hostEntries struct{ faults logging.FaultLog }

// decode decodes the entry of a host. ok is false if it names no host to use.
func (e *hostEntries) decode(log *slog.Logger, r platform.Record) (h cell.Host, ok bool) {
	h, err := platform.DecodeHost(r.Key, r.Value)
	if err != nil {
		e.faults.Fault(log, slog.LevelWarn, "hosts: The entry of a host is invalid; the host counts as missing.", r.Key, err)
		return cell.Host{}, false
	}
	e.faults.Resolved(r.Key)
	return h, true
}
