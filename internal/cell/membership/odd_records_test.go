package membership

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a record of another writer that replaces the record of a node, or that
// is preferred as a follower or as an owner for its number of cores.
func TestOddNodeRecordsAreIgnored(t *testing.T) {
	const now = time.Second
	for name, r := range map[string]struct{ key, value string }{
		"null":                         {"odd", `null`},
		"empty object":                 {"odd", `{}`},
		"the name of another node":     {"odd", `{"name":"n1","boot":"b","address":"10.0.0.9:1"}`},
		"no instance":                  {"odd", `{"name":"odd","address":"10.0.0.9:1"}`},
		"no address":                   {"odd", `{"name":"odd","boot":"b"}`},
		"port above 65535":             {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:70000"}`},
		"port 0":                       {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:0"}`},
		"host name":                    {"odd", `{"name":"odd","boot":"b","address":"node.example:1"}`},
		"address with a path":          {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1/x"}`},
		"cores of 1e300":               {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1","power":1e300}`},
		"cores of 1e400":               {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1","power":1e400}`},
		"negative cores":               {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1","power":-1}`},
		"cores as a text":              {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1","power":"NaN"}`},
		"heartbeat that overflows":     {"odd", `{"name":"odd","boot":"b","address":"10.0.0.9:1","beat":9223372036854775808}`},
		"truncated":                    {"odd", `{"name":"odd","boot":`},
		"million levels of lists":      {"odd", strings.Repeat("[", 1_000_000)},
		"no key":                       {"", `{"name":"","boot":"b","address":"10.0.0.9:1"}`},
		"damaged record of a node":     {"n1", "\xff"},
		"record of a node, other name": {"n1", `{"name":"n2","boot":"b","address":"10.0.0.9:1","left":true}`},
	} {
		table := NewTable(slog.New(slog.DiscardHandler))
		apply := func(offset uint64, rec platform.Record) {
			rec.Offset = offset
			table.Apply(rec, now)
		}
		apply(1, Record(Node{Name: "n1", InstanceID: "b1", Address: "10.0.0.1:7420", Cores: 1, Follows: true}))
		apply(2, Record(Node{Name: "n2", InstanceID: "b2", Address: "10.0.0.2:7420", Cores: 1, Follows: true}))
		before := table.Nodes()
		apply(3, platform.Record{Key: r.key, Value: []byte(r.value)})
		if d := cmp.Diff(before, table.Nodes()); d != "" {
			t.Errorf("%s: the table has changed: %s", name, d)
		}
		if n := len(table.Alive(now)); n != 2 {
			t.Errorf("%s: %d nodes are alive, want 2", name, n)
		}
	}
}
