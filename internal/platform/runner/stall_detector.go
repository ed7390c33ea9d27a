package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// missedProbeThreshold is the number of status probes without the request,
// and without progress in between, after which its connection is considered
// stalled. One is too few: the request may have ended just before the probe,
// with its response still in transit.
const missedProbeThreshold = 2

// stallDetector detects that the connection of a request has stalled. If the
// request makes no progress for ProgressTimeout, the detector probes the status
// of the runner over a new connection. If missedProbeThreshold status responses
// do not list the request, it cancels the request and closes the idle
// connections to the runner.
type stallDetector struct {
	client        *HTTPClient
	address       string
	requestID     string
	conns         *connections
	cancelRequest context.CancelCauseFunc
	probeContext  context.Context
	cancelProbe   context.CancelFunc

	mu            sync.Mutex
	timer         *time.Timer
	progressCount int
	missedProbes  int
	stopped       bool
}

func newStallDetector(c *HTTPClient, address, id string, conns *connections, cancel context.CancelCauseFunc) *stallDetector {
	d := &stallDetector{client: c, address: address, requestID: id, conns: conns, cancelRequest: cancel}
	d.probeContext, d.cancelProbe = context.WithCancel(context.Background())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(c.options.ProgressTimeout, d.probe)
	return d
}

// startTimer starts the wait for the next progress. It is called when a read of
// the body begins, so that a body which its caller does not read is never probed.
func (d *stallDetector) startTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(d.client.options.ProgressTimeout)
	}
}

// recordProgress stops the timer and resets the count of missed probes.
func (d *stallDetector) recordProgress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progressCount++
	d.missedProbes = 0
	d.timer.Stop()
}

// stop ends the detection and cancels a probe that is in progress.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	d.cancelProbe()
}

// probe asks the runner for its status. It cancels the request if the threshold
// of missed probes is reached, and schedules the next probe otherwise.
func (d *stallDetector) probe() {
	d.mu.Lock()
	progressCount := d.progressCount
	d.mu.Unlock()
	status, err := d.client.Status(d.probeContext, d.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.progressCount != progressCount {
		return
	}
	if err == nil && !slices.Contains(status.Requests, d.requestID) {
		d.missedProbes++
	}
	if d.missedProbes < missedProbeThreshold {
		d.timer.Reset(d.client.options.ProgressTimeout)
		return
	}
	d.conns.close()
	d.cancelRequest(verdict.New(verdict.MayHaveRun, CodeConnectionStalled,
		"the connection to %s made no progress, while new connections to it got responses", d.address))
}
