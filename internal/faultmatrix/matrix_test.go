package faultmatrix

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
)

var fresh = flag.Duration("matrix.fresh", 0, "run the matrix with fresh seeds for this long")

const (
	firstSeed = 1
	// parallelClusters is the maximum number of clusters that run at the same time.
	parallelClusters = 4
)

// The outcomes of a cell.
const (
	passed       = "ok"
	violated     = "FAULT"
	notReached   = "NOT REACHED"
	knownFailing = "known"
	// notRun marks a cell that runs only with fresh seeds, because it takes long.
	notRun = "not run"
)

// matrix holds the outcome of each cell for one seed.
type matrix struct {
	mu    sync.Mutex
	cells map[string]string
}

func (m *matrix) setOutcome(cell, outcome, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cells[cell] == violated {
		outcome = violated
	}
	m.cells[cell] = outcome
	if reason != "" {
		fmt.Printf("%s: %s: %s\n", outcome, cell, reason)
	}
}

// Guards against an invariant that is violated when a fault of the platform or of
// an entry node happens at a certain step of the work.
func TestFaultMatrix(t *testing.T) {
	end := time.Now().Add(*fresh)
	for seed := uint64(firstSeed); ; seed = uint64(time.Now().UnixNano()) {
		m := &matrix{cells: map[string]string{}}
		began := time.Now()
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { m.run(t, seed) })
		m.report(t, seed, time.Since(began))
		if !time.Now().Before(end) {
			return
		}
	}
}

// run runs all groups in parallel. A group is one fault at several steps in one
// cluster.
func (m *matrix) run(t *testing.T, seed uint64) {
	slots := make(chan struct{}, parallelClusters)
	for row, f := range faults {
		groups := max(1, f.groups)
		for group := range groups {
			t.Run(fmt.Sprintf("%s/%d", f.name, group), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				var groupSteps []step
				for i, s := range steps {
					if i*groups/len(steps) == group {
						groupSteps = append(groupSteps, s)
					}
				}
				m.runGroup(newTestCluster(t, seed+uint64(100*row+group)), f, groupSteps)
			})
		}
	}
}

// runGroup injects one fault at several steps of one cluster. A violation that is
// found only at the end is attributed to all cells of the group.
func (m *matrix) runGroup(tc *testCluster, f fault, groupSteps []step) {
	defer func() {
		r := recover()
		reason, failed := r.(groupAborted)
		if r != nil && !failed {
			panic(r)
		}
		for i, s := range groupSteps {
			if failed {
				m.setOutcome(cellName(f.name, s.name), violated, "")
				m.setOutcome(cellName(f.name+", twice", s.name), violated, "")
			}
			if failed && i == 0 {
				m.setOutcome(cellName(f.name, s.name), violated, "the run of this group was aborted: "+string(reason))
			}
		}
	}()
	tc.prepare()
	reported := 0
	for _, s := range groupSteps {
		began := time.Now()
		c := &cell{testCluster: tc, step: s, id: tc.newID("job"), entryIndex: tc.random.IntN(entryNodes), fromOffset: tc.nextOffset(), trace: &trace{}}
		m.runCell(c, f)
		found := tc.checkExecutions()
		if len(found) > reported {
			m.setOutcome(cellName(f.name, s.name), violated, strings.Join(found[reported:], "; "))
			m.setOutcome(cellName(f.name+", twice", s.name), violated, "")
		}
		reported = len(found)
		tc.t.Logf("%s took %s", cellName(f.name, s.name), time.Since(began).Round(time.Millisecond))
	}
	atEnd := tc.finishAndCheck()[reported:]
	for _, p := range tc.processes {
		if p.raceDetected.Load() {
			tc.recordViolation("%s reported a data race", p.name)
		}
	}
	tc.mu.Lock()
	atEnd = append(atEnd, tc.violations...)
	tc.mu.Unlock()
	for _, s := range groupSteps {
		if len(atEnd) > 0 {
			m.setOutcome(cellName(f.name, s.name), violated, "")
			m.setOutcome(cellName(f.name+", twice", s.name), violated, "")
		}
	}
	if len(atEnd) > 0 {
		m.setOutcome(cellName(f.name, groupSteps[0].name), violated, "found at the end of the run of this group: "+strings.Join(atEnd, "; "))
	}
}

// runCell injects a fault when a step is reached, and then a second time.
func (m *matrix) runCell(c *cell, f fault) {
	c.requestPair()
	c.step.trigger(c)
	for _, row := range []string{f.name, f.name + ", twice"} {
		if f.slow && row != f.name && *fresh == 0 {
			m.setOutcome(cellName(row, c.step.name), notRun, "")
			break
		}
		var at location
		if !c.waitFor(stepTimeout, func() (ok bool) { at, ok = c.step.reached(c); return ok }) {
			m.setOutcome(cellName(row, c.step.name), notReached, fmt.Sprintf("no such event within %s", stepTimeout))
			break
		}
		f.inject(c, at)
		m.setOutcome(cellName(row, c.step.name), passed, "")
	}
	if c.stoppedNode != nil {
		c.stoppedNode.stop(15)
	}
	c.restart()
}

// readKnownFailing returns the cells that KNOWN-RED.txt names.
func readKnownFailing(t *testing.T) map[string]bool {
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, match := range regexp.MustCompile(`"([^"]+ @ [^"]+)"`).FindAllStringSubmatch(string(data), -1) {
		known[match[1]] = true
	}
	return known
}

// report prints the matrix and fails the test for each cell that neither passed
// nor is known to fail.
func (m *matrix) report(t *testing.T, seed uint64, took time.Duration) {
	known, totals := readKnownFailing(t), map[string]int{}
	out := table.NewWriter()
	header := table.Row{"fault"}
	for _, s := range steps {
		header = append(header, s.name)
	}
	out.AppendHeader(header)
	for _, f := range faults {
		for _, row := range []string{f.name, f.name + ", twice"} {
			line := table.Row{row}
			for _, s := range steps {
				outcome := m.outcome(t, cellName(row, s.name), known)
				totals[outcome]++
				line = append(line, outcome)
			}
			out.AppendRow(line)
		}
	}
	fmt.Println(out.Render())
	fmt.Printf("seed %d, %s: %d cells, %v\n", seed, took.Round(time.Second), len(faults)*2*len(steps), totals)
}

func (m *matrix) outcome(t *testing.T, cell string, known map[string]bool) string {
	outcome := m.cells[cell]
	switch {
	case outcome == passed, outcome == notRun:
	case known[cell]:
		fmt.Printf("passed over, see KNOWN-RED.txt: %s: %s\n", cell, outcome)
		return knownFailing
	default:
		if outcome == "" {
			outcome = notReached
		}
		t.Errorf("%s: %s", cell, outcome)
	}
	return outcome
}
