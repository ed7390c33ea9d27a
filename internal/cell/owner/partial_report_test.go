package owner

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a done task that is started again after a takeover: its host lists more ends
// than one report holds, as acknowledgements wait for a slow store, and the successor takes
// the runs of earlier owners there as known before it has read all of them.
func TestPartialReportDoesNotTellAllRuns(t *testing.T) {
	h := newHostTest(t)
	h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}}, testHost("h", "a"))
	report := cell.HostReport{Partial: true, Ended: []cell.Ended{{Number: 1, Task: cell.TaskID{Submission: "other"}, Run: 1, Outcome: cell.OutcomeDone}}}
	h.client.answers["a"] = hostAnswer{report: report}
	h.pollOnce("h")
	h.withState(h.checkReconciled)
	if h.Reconciled() {
		t.Fatal("the ends that the report does not list count as known")
	}
	report.Partial = false
	h.client.answers["a"] = hostAnswer{report: report}
	h.pollOnce("h")
	h.withState(h.checkReconciled)
	if !h.Reconciled() {
		t.Error("a complete report does not settle the runs on the host")
	}
}

// Guards against a host that is never used, since each of its reports lists a run that cannot
// be decoded.
func TestHostWithPartialReportsIsUsed(t *testing.T) {
	h := newHostTest(t)
	h.list(nil, testHost("h", "a"))
	h.client.answers["a"] = hostAnswer{report: cell.HostReport{Partial: true}}
	h.pollOnce("h")
	h.clock.now += runsEndWithin(AuthorityDuration + LeaseDuration)
	h.withState(h.checkReconciled)
	h.pollOnce("h")
	h.storeHosts()
	h.submit("x")
	if len(h.decideOnce()) != 1 {
		t.Error("nothing starts on the host")
	}
}
