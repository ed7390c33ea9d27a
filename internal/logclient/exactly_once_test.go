package logclient

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
)

// Guards against a record that is lost or takes effect twice. This can happen when
// responses are lost, when appends are refused or reach the log seconds after the
// client has timed out, or when the log service stops responding.
func TestEverySubmittedRecordIsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) logsvc.Faults {
			return logsvc.Faults{
				Unavailable:      rapid.IntRange(0, 3).Draw(rt, "away") == 0,
				Unresponsive:     rapid.IntRange(0, 3).Draw(rt, "silent") == 0,
				Delay:            time.Duration(rapid.SampledFrom([]int{0, 0, 100, 1900, 2500}).Draw(rt, "delay")) * time.Millisecond,
				LoseResponses:    rapid.IntRange(-1, 3).Draw(rt, "lose"),
				AppendsPerSecond: rapid.SampledFrom([]int{0, 1, 5}).Draw(rt, "rate"),
			}
		}), 1, 6).Draw(rt, "phases")
		late := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(rt, "late copies, seconds")
		synctest.Test(t, func(t *testing.T) { runFaultPhases(t, phases, late) })
		if t.Failed() {
			rt.Fatalf("failed with phases %+v, late copies %v", phases, late)
		}
	})
}

func runFaultPhases(t *testing.T, phases []logsvc.Faults, late []int) {
	log := logsvc.New(true)
	delayed := &delayedLog{Log: log, delaySeconds: late}
	defer delayed.pending.Wait()
	c, stop := startClient(t, delayed, nil)
	defer stop()
	ctx := timeoutContext(t, 10*time.Minute)
	var wg sync.WaitGroup
	want := 0
	for _, faults := range phases {
		log.SetFaults(faults)
		for range 5 {
			id := fmt.Sprint("job", want)
			want++
			wg.Go(func() {
				receipt, err := c.Submit(ctx, jobRecord(id), Normal)
				if err != nil || len(receipt.Events) != 1 {
					t.Errorf("%s: %+v, %v", id, receipt, err)
				}
			})
		}
		time.Sleep(3 * time.Second) // The faults last this long, in synctest time.
	}
	log.SetFaults(logsvc.Faults{})
	wg.Wait()
	delayed.pending.Wait()
	counts := appliedCounts(t, log)
	if len(counts) != want {
		t.Errorf("%d jobs in the log, want %d", len(counts), want)
	}
	for id, n := range counts {
		if n != 1 {
			t.Errorf("%s applied %d times", id, n)
		}
	}
}

// Guards against a record that is lost or applied twice over real HTTP connections,
// which the log stand-in closes after the append without a response.
func TestLostResponsesOverHTTP(t *testing.T) {
	server, err := logsvc.Serve(logsvc.New(true), "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	server.SetFaults(logsvc.Faults{LoseResponses: 3})
	client, err := platform.NewClient(server.URL(), platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, stop := startClient(t, client, nil)
	defer stop()
	ctx := timeoutContext(t, time.Minute)
	for i := range 5 {
		receipt, err := c.Submit(ctx, jobRecord(fmt.Sprint("job", i)), Normal)
		if err != nil || receipt.Offset == 0 || receipt.SentAt.IsZero() {
			t.Fatalf("submit %d: %+v, %v", i, receipt, err)
		}
	}
	counts := appliedCounts(t, server.Service)
	for i := range 5 {
		if n := counts[fmt.Sprint("job", i)]; n != 1 {
			t.Fatalf("job %d applied %d times", i, n)
		}
	}
}

// Guards against a retry under a new sequence number. Readers would not recognize
// it as a duplicate and would apply the records twice.
func TestRetryKeepsSequenceNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		// Reads are slow, so that the reader cannot find the batch in the log
		// before the writer retries it.
		c, stop := startClient(t, &slowReadLog{log, time.Second}, nil)
		defer stop()
		log.SetFaults(logsvc.Faults{LoseResponses: 2})
		before := time.Now()
		receipt, err := c.Submit(timeoutContext(t, time.Minute), jobRecord("j"), Immediate)
		if err != nil {
			t.Fatal(err)
		}
		if !receipt.SentAt.Equal(before) {
			t.Fatalf("sent %v after the first attempt", receipt.SentAt.Sub(before))
		}
		if countDuplicates(t, log) == 0 || appliedCounts(t, log)["j"] != 1 {
			t.Fatalf("%d copies, applied %d times", countDuplicates(t, log), appliedCounts(t, log)["j"])
		}
	})
}
