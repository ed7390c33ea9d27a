package logging

import (
	"bytes"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"testing"
)

// Guards against a log that fills, since odd objects are read again and again, and against
// memory that fills with the faults of ever new ones.
func TestFaultLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var f FaultLog
	report := func(object, fault string) {
		f.Fault(log, slog.LevelWarn, "A fault.", object, errors.New(fault), "offset", 7)
	}
	expect := func(what string, lines int) {
		t.Helper()
		if n := strings.Count(out.String(), "\n"); n != lines {
			t.Errorf("%s: %d lines, want %d", what, n, lines)
		}
		out.Reset()
	}
	for range 100 {
		report("a", "odd")
		report("b", "odd")
	}
	expect("two objects, read 100 times", 2)
	report("a", "odd in another way")
	expect("another fault", 1)
	f.Resolved("a")
	report("a", "odd")
	expect("odd again", 1)
	for i := range 10 * maxLoggedFaults {
		report(strconv.Itoa(i), "odd")
	}
	expect("many objects", maxLoggedFaults-2+1)
	if len(f.faults) > maxLoggedFaults {
		t.Errorf("%d faults are remembered", len(f.faults))
	}
}
