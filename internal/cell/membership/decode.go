package membership

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// maxCores bounds the cores of a node. The nodes with most cores become followers and
// owners, so that a record with a number of no meaning would come before all others.
const maxCores = 1 << 16

// decode decodes and checks the record of a node. A record of another writer is a
// *cell.FieldError or an error of encoding/json.
func decode(r platform.Record) (n Node, err error) {
	if err := json.Unmarshal(r.Value, &n); err != nil {
		return n, err
	}
	object := "record " + cell.Quote(r.Key)
	address, err := netip.ParseAddrPort(n.Address)
	switch {
	case n.Name == "" || n.Name != r.Key:
		return n, cell.NewFieldError(object, "name", n.Name, "the key of the record")
	case n.InstanceID == "":
		return n, cell.NewFieldError(object, "boot", n.InstanceID, "the ID of a process")
	case err != nil || address.Port() == 0:
		return n, cell.NewFieldError(object, "address", n.Address, "an IP address with a port from 1 to 65535")
	case n.Cores < 0 || n.Cores > maxCores:
		return n, cell.NewFieldError(object, "power", n.Cores, fmt.Sprintf("0 to %d", maxCores))
	}
	return n, nil
}
