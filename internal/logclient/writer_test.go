package logclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Guards against a wrong verdict when the caller's context ends before the record is
// applied: a record that the log refused did not run, but one in an append without a
// response may have run.
func TestVerdictOfCancelledSubmit(t *testing.T) {
	for name, test := range map[string]struct {
		faults logsvc.Faults
		want   verdict.Verdict
	}{
		"away":        {logsvc.Faults{Unavailable: true}, verdict.DidNotRun},
		"slow":        {logsvc.Faults{Delay: time.Minute}, verdict.MayHaveRun},
		"answer lost": {logsvc.Faults{LoseResponses: -1}, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logsvc.New(true)
				c, stop := startClient(t, &slowReadLog{log, time.Minute}, nil)
				defer stop()
				log.SetFaults(test.faults)
				_, err := c.Submit(timeoutContext(t, time.Second), jobRecord("j"), Normal)
				if !errors.Is(err, context.DeadlineExceeded) || verdict.Of(err) != test.want {
					t.Fatalf("error %v, want %v", err, test.want)
				}
				if test.want != verdict.DidNotRun {
					return
				}
				log.SetFaults(logsvc.Faults{})
				if _, err := c.Submit(timeoutContext(t, 5*time.Minute), jobRecord("k"), Normal); err != nil {
					t.Fatal(err)
				}
				if counts := appliedCounts(t, log); counts["j"] != 0 || counts["k"] != 1 {
					t.Fatalf("applied %v, want only k", counts)
				}
			})
		})
	}
}

// Guards against a queue that grows without bound while the log is unavailable.
func TestFullQueueRefusesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		log.SetFaults(logsvc.Faults{Unavailable: true})
		c, stop := startClient(t, log, func(o *Options) { o.MaxPendingRecords = 2 })
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				if _, err := c.Submit(context.Background(), jobRecord(fmt.Sprint(i)), Normal); verdict.Of(err) != verdict.DidNotRun {
					t.Errorf("closed client: %v", err)
				}
			})
		}
		synctest.Wait()
		if _, err := c.Submit(context.Background(), jobRecord("x"), Normal); !errors.Is(err, errQueueFull) {
			t.Errorf("full queue: %v", err)
		}
		stop()
		wg.Wait()
		if pending := c.Contact().Pending; pending != 0 {
			t.Errorf("%d records pending after the client stopped", pending)
		}
	})
}

// Guards against a node that exceeds its append rate, and against an Immediate
// record that is delayed by the rate limit.
func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &recordingLog{Log: logsvc.New(true)}
		c, stop := startClient(t, log, nil)
		defer stop()
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				if _, err := c.Submit(timeoutContext(t, time.Minute), jobRecord(fmt.Sprint(i)), Normal); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		starts := log.startTimes()
		for i := range starts {
			if i >= 10 && starts[i].Sub(starts[i-10]) < time.Second {
				t.Fatalf("11 appends within %v", starts[i].Sub(starts[i-10]))
			}
		}
		for range 20 {
			before := time.Now()
			if _, err := c.Submit(timeoutContext(t, time.Minute), joinRecord(), Immediate); err != nil || time.Since(before) > 0 {
				t.Fatalf("immediate record took %v, %v", time.Since(before), err)
			}
		}
	})
}

// Guards against a paused process that resumes after a newer incarnation of its node
// has joined: its records must have no effect and must be reported as not run.
func TestReplacedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		old, stopOld := startClient(t, log, nil)
		defer stopOld()
		if _, err := old.Submit(timeoutContext(t, time.Minute), joinRecord(), Immediate); err != nil {
			t.Fatal(err)
		}
		successor, stop := startClient(t, log, func(o *Options) { o.Incarnation = 2; o.Replica = ledger.NewReplica(ledger.Options{}) })
		defer stop()
		if _, err := successor.Submit(timeoutContext(t, time.Minute), joinRecord(), Immediate); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			_, err := old.Submit(timeoutContext(t, time.Minute), jobRecord("j"), Normal)
			if !errors.Is(err, errReplaced) || verdict.Of(err) != verdict.DidNotRun {
				t.Fatalf("record of the old incarnation: %v", err)
			}
		}
		if appliedCounts(t, log)["j"] != 0 || !old.Contact().Replaced {
			t.Fatal("record of the old incarnation had effect")
		}
	})
}
