package hostlist

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// maxIDBytes bounds the ID of a host.
	maxIDBytes = 200
	// maxAmount bounds each resource of a host, so that sums over all hosts do not
	// overflow, and maxSlots the slots of a runner.
	maxAmount = 1_000_000_000
	maxSlots  = 1_000_000
)

var errNotAList = eris.New(`the host list is not an object with a list "hosts"`)

// decodeHosts decodes the entries of a host list. An odd entry of another writer is left
// out: it must not keep the others from being read.
func decodeHosts(data []byte) ([]Host, error) {
	entries, err := splitEntries(data)
	if err != nil {
		return nil, err
	}
	if len(entries) > MaxHosts {
		return nil, eris.Errorf("host list has %d entries, at most %d", len(entries), MaxHosts)
	}
	seen := make(map[string]bool, len(entries))
	var hosts []Host
	for _, e := range entries {
		var h Host
		if json.Unmarshal(e, &h) != nil || !h.valid() || seen[h.ID] {
			continue
		}
		seen[h.ID] = true
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// valid reports whether the entry is that of a host.
func (h *Host) valid() bool {
	if h.ID == "" || len(h.ID) > maxIDBytes || h.Role != RoleWorker && h.Role != RoleRunner {
		return false
	}
	for i := range len(h.ID) {
		if h.ID[i] <= ' ' || h.ID[i] == 0x7f {
			return false
		}
	}
	largest := resource.Vector{MilliCPU: maxAmount, MemoryMiB: maxAmount, Accelerators: maxAmount}
	return !h.Capacity.IsNegative() && h.Capacity.Fits(largest) && h.Slots >= 0 && h.Slots <= maxSlots
}

// splitEntries returns the entries of the list "hosts" without decoding them, since
// encoding/json refuses the whole text for one entry that is nested too deeply.
func splitEntries(data []byte) ([]json.RawMessage, error) {
	rest, err := hostsValue(data)
	if err != nil {
		return nil, err
	}
	if bytes.HasPrefix(rest, []byte("null")) {
		return nil, nil
	}
	if len(rest) == 0 || rest[0] != '[' {
		return nil, errNotAList
	}
	rest = skipSpace(rest[1:])
	if len(rest) > 0 && rest[0] == ']' {
		return nil, nil
	}
	var out []json.RawMessage
	for {
		n := valueLength(rest)
		if n <= 0 || n == len(rest) {
			return nil, eris.Errorf("the host list ends within entry %d", len(out))
		}
		out = append(out, json.RawMessage(bytes.TrimSpace(rest[:n])))
		if len(out[len(out)-1]) == 0 {
			return nil, eris.Errorf("entry %d of the host list is empty", len(out)-1)
		}
		if rest[n] == ']' {
			return out, nil
		}
		rest = rest[n+1:]
	}
}

// hostsValue returns the text from the value of the field "hosts" on.
func hostsValue(data []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, errNotAList
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, eris.Wrap(err, "decode the host list")
		}
		if name == "hosts" {
			rest := skipSpace(data[d.InputOffset():])
			return skipSpace(bytes.TrimPrefix(rest, []byte(":"))), nil
		}
		var other json.RawMessage
		if err := d.Decode(&other); err != nil {
			return nil, eris.Wrap(err, "decode the host list")
		}
	}
	return nil, errNotAList
}

func skipSpace(data []byte) []byte { return bytes.TrimLeft(data, " \t\r\n") }

// valueLength returns the length of the text up to the comma or bracket that ends the
// value of a list; -1 if the brackets do not match.
func valueLength(data []byte) int {
	var open []byte
	inString := false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			open = append(open, c+2) // the closing bracket
		case len(open) == 0 && (c == ',' || c == ']'):
			return i
		case c == '}' || c == ']':
			if len(open) == 0 || open[len(open)-1] != c {
				return -1
			}
			open = open[:len(open)-1]
		}
	}
	return len(data)
}
