package runtimes

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// learnedModel returns a model with runs of several keys.
func learnedModel(keys int) *Model {
	m, r := New(Options{}), seeded()
	for step := range keys {
		for i := range 250 {
			m.Observe(Key{"queue", step}, Run{Took: reconciliation(r), Estimate: off(r, time.Second, 0.9), HostSpeed: 1, Host: hostName(i)}, i%7 == 3)
		}
	}
	return m
}

// Guards against a successor that starts from the estimates or from other quantiles.
func TestSnapshotRoundTrip(t *testing.T) {
	m, n := learnedModel(3), New(Options{})
	if err := n.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for step := range 3 {
		k := Key{"queue", step}
		if got, want := n.Expect(k, time.Second, 1), m.Expect(k, time.Second, 1); got != want {
			t.Errorf("step %d: restored %+v, want %+v", step, got, want)
		}
	}
	if got, want := string(n.Snapshot()), string(m.Snapshot()); len(got) == 0 || len(got) > 2*len(want) {
		t.Errorf("the snapshot after a restoration takes %d bytes, before %d", len(got), len(want))
	}
	// What is restored loses its weight like other runs.
	for i := range 150 {
		n.Observe(Key{"queue", 0}, Run{Took: 10 * time.Second, Estimate: time.Second, HostSpeed: 1, Host: hostName(i)}, false)
	}
	near(t, "the median after a change", n.Expect(Key{"queue", 0}, time.Second, 1).Median, 10*time.Second, 0.1)
}

// Guards against snapshots that exceed the bound of a record.
func TestSnapshotIsBounded(t *testing.T) {
	m := learnedModel(DefaultMaxKeys)
	s := m.Snapshot()
	if len(s) > MaxSnapshotBytes {
		t.Errorf("the snapshot takes %d bytes, more than %d", len(s), MaxSnapshotBytes)
	}
	n := New(Options{})
	if err := n.Restore(s); err != nil {
		t.Fatal(err)
	}
	if n.Expect(Key{"queue", DefaultMaxKeys - 1}, time.Second, 1).Samples == 0 {
		t.Error("the key that was used last is not in the snapshot")
	}
	t.Logf("%d keys in %d bytes", len(n.Explain()), len(s))
}

// Guards against a snapshot that encodes keys which do not fit, under the owner's lock.
func TestSnapshotStopsAtItsBound(t *testing.T) {
	allocations := func(keys int) float64 {
		m := learnedModel(keys)
		return testing.AllocsPerRun(2, func() { m.Snapshot() })
	}
	if some, all := allocations(DefaultMaxKeys/2), allocations(DefaultMaxKeys); all > 1.2*some {
		t.Errorf("a snapshot of %d keys makes %.0f allocations, one of half as many %.0f", DefaultMaxKeys, all, some)
	}
}

// Guards against a malformed snapshot that is taken over in part or makes the process panic.
func TestMalformedSnapshotsChangeNothing(t *testing.T) {
	key := func(fields string) string { return `{"version":1,"keys":[{"queue":"q","step":0` + fields + `}]}` }
	for _, s := range []string{
		"", "null", "[]", "{}", `{"version":2,"keys":[]}`, `{"version":1,"keys":{}}`, "\x00\xff", strings.Repeat(" ", MaxSnapshotBytes+1),
		key(`,"times":[1]`), key(`,"times":[1,0]`), key(`,"times":[0,1]`), key(`,"times":[1,-5]`), key(`,"times":[-9223372036854775808,1]`), key(`,"times":[1,9223372036854775807]`),
		key(`,"times":[1,193]`), key(`,"times":[1,100,2,100]`), key(`,"times":[86400001,1]`), key(`,"ratios":[1.5,1]`), key(`,"time":{"mean":1e300}`), key(`,"ratio":{"error":-1}`),
		key(`,"median_error":3`), key(`,"observed":-1`), `{"version":1,"keys":[{"queue":"q","step":-1}]}`, `{"version":1,"keys":[{"queue":"` + strings.Repeat("q", maxQueueName+1) + `"}]}`,
	} {
		m := learnedModel(1)
		want := m.Expect(Key{"queue", 0}, time.Second, 1)
		if err := m.Restore([]byte(s)); err == nil {
			t.Errorf("a malformed snapshot was restored: %.80q", s)
		}
		if got := m.Expect(Key{"queue", 0}, time.Second, 1); got != want {
			t.Errorf("after the malformed snapshot %.80q, the expectation is %+v, want %+v", s, got, want)
		}
	}
}

// Guards against bytes that make the model panic or give expectations that are no durations.
func TestAnyBytesInASnapshotAreHarmless(t *testing.T) {
	valid := learnedModel(2).Snapshot()
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte(nil), valid...)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				data[at] = rapid.Byte().Draw(t, "byte")
			case 1:
				data[at] = byte('0' + rapid.IntRange(0, 9).Draw(t, "digit"))
			default:
				data = append(data[:at], data[min(at+rapid.IntRange(1, 20).Draw(t, "removed"), len(data)):]...)
			}
			if len(data) == 0 {
				return
			}
		}
		m := New(Options{})
		_ = m.Restore(data)
		for step := range 2 {
			m.Observe(Key{"queue", step}, Run{Took: time.Second, Estimate: time.Second, HostSpeed: 1, Host: "h"}, step == 1)
			for _, e := range []Expectation{m.Expect(Key{"queue", step}, time.Second, 1), m.Remaining(Key{"queue", step}, time.Second, 1, 2*time.Second)} {
				if e.Median < 0 || e.P90 < e.Median || e.P99 < e.P90 || e.P99 > maxExpectation {
					t.Fatalf("the expectation is %+v", e)
				}
			}
		}
		if len(m.Snapshot()) > MaxSnapshotBytes {
			t.Fatal("the snapshot exceeds its bound")
		}
	})
}

// Guards against a text that states another bound than the one that is checked.
func TestSizeBoundIsStated(t *testing.T) {
	if err := CheckSize("the record", make([]byte, MaxSnapshotBytes)); err != nil {
		t.Error(err)
	}
	err := CheckSize("the record", make([]byte, MaxSnapshotBytes+1))
	if err == nil || err.Error() != `the record: size is "131073", but must be at most 131072 bytes` {
		t.Error(err)
	}
}
