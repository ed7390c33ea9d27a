package logclient

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Guards against a new or lagging node that cannot restore its state, or restores a
// different one, when the log has dropped records that the node has not read.
func TestRebuildFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		log.SetFaults(logsvc.Faults{Retention: 50})
		writer, stop := startClient(t, log, func(o *Options) { o.SnapshotIntervalRecords = 10 })
		defer stop()
		lagging, stopLagging := startClient(t, &slowReadLog{log, 0}, func(o *Options) { o.Node = "b"; o.Replica = ledger.NewReplica(ledger.Options{}) })
		ctx := timeoutContext(t, time.Hour)
		for _, c := range []*Client{writer, lagging} {
			if _, err := c.Submit(ctx, joinRecord(), Immediate); err != nil {
				t.Fatal(err)
			}
		}
		stopLagging()
		behind := lagging.opts.Replica.NextOffset()
		for i := range 200 {
			if _, err := writer.Submit(ctx, jobRecord(fmt.Sprint("job", i)), Normal); err != nil {
				t.Fatal(err)
			}
		}
		resumed, stopResumed := startClient(t, log, func(o *Options) { o.Node = "b"; o.Incarnation = 2; o.Replica = lagging.opts.Replica })
		defer stopResumed()
		fresh, stopFresh := startClient(t, log, func(o *Options) { o.Node = "c"; o.Replica = ledger.NewReplica(ledger.Options{}) })
		defer stopFresh()
		for _, c := range []*Client{resumed, fresh} {
			if _, err := c.Submit(ctx, joinRecord(), Immediate); err != nil {
				t.Fatal(err)
			}
		}
		if resumed.opts.Replica.NextOffset() <= behind {
			t.Fatal("the lagging node did not catch up")
		}
		time.Sleep(5 * time.Second) // All readers reach the end within this time, in synctest time.
		want, _, err := writer.opts.Replica.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range []*Client{resumed, fresh} {
			got, _, err := c.opts.Replica.Snapshot()
			if err != nil || !bytes.Equal(got, want) || !c.Contact().ReachedEnd {
				t.Fatalf("node %s: next offset %d, want %d, contact %+v, error %v", c.opts.Node,
					c.opts.Replica.NextOffset(), writer.opts.Replica.NextOffset(), c.Contact(), err)
			}
		}
	})
}

// Guards against a Submit that reports success for a record whose effect is not
// known, because the replica skipped the record when it was restored from a
// snapshot.
func TestRecordCoveredBySnapshotIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		other, stopOther := startClient(t, log, func(o *Options) { o.Node = "b" })
		defer stopOther()
		reads := &slowReadLog{log, 4 * time.Second}
		c, stop := startClient(t, reads, func(o *Options) { o.Replica = ledger.NewReplica(ledger.Options{}) })
		defer stop()
		ctx := timeoutContext(t, time.Hour)
		result := make(chan error, 1)
		time.Sleep(1500 * time.Millisecond) // The slow read has its empty page by now, in synctest time.
		go func() {
			_, err := c.Submit(ctx, jobRecord("j"), Immediate)
			result <- err
		}()
		synctest.Wait()
		for i := range 5 {
			if _, err := other.Submit(ctx, jobRecord(fmt.Sprint("k", i)), Immediate); err != nil {
				t.Fatal(err)
			}
		}
		if err := other.WriteSnapshot(ctx); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(logsvc.Faults{Retention: 1})
		if err := <-result; !errors.Is(err, errEffectUnknown) || verdict.Of(err) != verdict.MayHaveRun {
			t.Fatalf("record that the snapshot covers: %v", err)
		}
	})
}

// Guards against a client that reports a recent contact with the log before its
// first call or during an outage.
func TestContactReportsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		c, err := New(Options{Node: "a", Incarnation: 1, Log: log, Replica: ledger.NewReplica(ledger.Options{})})
		if err != nil {
			t.Fatal(err)
		}
		if contact := c.Contact(); contact.SinceAppend != Never || contact.SinceRead != Never || contact.ReachedEnd {
			t.Fatalf("contact before the start: %+v", contact)
		}
		running, stop := startClient(t, log, nil)
		defer stop()
		if _, err := running.Submit(timeoutContext(t, time.Minute), joinRecord(), Immediate); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(logsvc.Faults{Unavailable: true})
		time.Sleep(10 * time.Second) // The outage lasts this long, in synctest time.
		contact := running.Contact()
		if contact.SinceAppend < 10*time.Second || contact.SinceRead < 9*time.Second || !contact.ReachedEnd {
			t.Fatalf("contact after an outage of 10 s: %+v", contact)
		}
	})
}
