package node

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/platform"
)

const ordinaryEntry = `{"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,` +
	`"capacity":{"cpu":4000,"memMb":8192,"gpu":0},"labels":["a","r1-1"],"seq":%d}`

// Guards against an odd entry that fills the log, since it is written or read again and
// again, and against one that is refused without a word.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	logged := func() int { return strings.Count(out.String(), "\n") }
	var e hostEntries
	apply := func(key, value string) bool {
		_, ok := e.decode(log, platform.Record{Key: key, Value: []byte(value)})
		return ok
	}
	for i := range 100 {
		if apply("odd", `{"state":"asleep"}`) || !apply("h", fmt.Sprintf(ordinaryEntry, i)) {
			t.Fatal("an odd entry is used, or an ordinary one is not")
		}
	}
	if logged() != 1 {
		t.Errorf("100 times the same odd entry: %d lines", logged())
	}
	apply("odd", `{"state":`)
	if logged() != 2 {
		t.Errorf("another fault of the entry: %d lines, want 2", logged())
	}
	if !apply("odd", fmt.Sprintf(ordinaryEntry, 1)) || apply("odd", `{"state":`) || logged() != 3 {
		t.Errorf("odd again after it was in order: %d lines, want 3", logged())
	}
	out.Reset()
	const most = 501
	for i := range 10 * most {
		apply(fmt.Sprintf("odd%d", i), `null`)
	}
	if logged() > most {
		t.Errorf("many odd entries: %d lines, want at most %d", logged(), most)
	}
}
