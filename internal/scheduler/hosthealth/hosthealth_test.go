package hosthealth

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// TestTracker guards against a quarantine without the threshold of consecutive
// failures, without failures of two jobs, and of more hosts than the bound allows.
func TestTracker(t *testing.T) {
	p := Policy{Failures: 3, MaxPercent: 10, ProbationAfter: time.Minute}
	fail := func(tr *Tracker, host string, jobs ...work.JobID) {
		for _, j := range jobs {
			if j == "ok" {
				tr.Succeeded(host)
			} else {
				tr.Failed(host, j, time.Second, p, 20)
			}
		}
	}
	for _, c := range []struct {
		jobs []work.JobID
		out  bool
	}{
		{[]work.JobID{"a", "b"}, false},
		{[]work.JobID{"a", "a", "a", "a"}, false},
		{[]work.JobID{"a", "a", "b"}, true},
		{[]work.JobID{"a", "b", "ok", "a", "b"}, false},
		{[]work.JobID{"a", "a", "b", "ok"}, false},
	} {
		tr := New()
		fail(tr, "h", c.jobs...)
		if _, out := tr.Quarantined("h"); out != c.out {
			t.Errorf("%v: quarantined %t, want %t", c.jobs, out, c.out)
		}
	}
	tr := New()
	for i := range 5 {
		fail(tr, fmt.Sprint(i), "a", "b", "c")
	}
	if tr.Count() != 2 {
		t.Errorf("%d of 20 hosts in quarantine, want 2", tr.Count())
	}
}

// TestBackoff guards against a backoff that starts too early, exceeds its bounds or
// is not reset by a success.
func TestBackoff(t *testing.T) {
	var b Backoff
	for _, c := range []struct {
		host string
		want time.Duration
	}{{"a", 0}, {"a", 0}, {"b", 0}, {"c", time.Second}, {"a", 2 * time.Second}} {
		if got := b.Failed(c.host); got != c.want {
			t.Errorf("host %s: wait %s, want %s", c.host, got, c.want)
		}
	}
	for range 40 {
		b.Failed("a")
	}
	if got := b.Failed("a"); got != maxBackoff {
		t.Errorf("wait %s, want %s", got, maxBackoff)
	}
	if b.Succeeded(); b.JobAtFault() {
		t.Error("the failures are still attributed to the job after a success")
	}
}
