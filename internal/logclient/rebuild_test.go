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

// Guards against a fresh or lagging node that stays without state, or gets
// another state than the rest, once retention has dropped records.
func TestRebuildFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		log.SetFaults(logsvc.Faults{Retention: 50})
		writer, stop := start(t, log, func(o *Options) { o.SnapshotEvery = 10 })
		defer stop()
		lagging, stopLagging := start(t, &slowReads{log, 0}, func(o *Options) { o.Node = "b"; o.Replica = ledger.NewReplica(ledger.Options{}) })
		ctx := within(t, time.Hour)
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
		resumed, stopResumed := start(t, log, func(o *Options) { o.Node = "b"; o.Incarnation = 2; o.Replica = lagging.opts.Replica })
		defer stopResumed()
		fresh, stopFresh := start(t, log, func(o *Options) { o.Node = "c"; o.Replica = ledger.NewReplica(ledger.Options{}) })
		defer stopFresh()
		for _, c := range []*Client{resumed, fresh} {
			if _, err := c.Submit(ctx, joinRecord(), Immediate); err != nil {
				t.Fatal(err)
			}
		}
		if resumed.opts.Replica.NextOffset() <= behind {
			t.Fatal("the lagging node did not move on")
		}
		time.Sleep(5 * time.Second) // Time of the bubble: all readers reach the end.
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

// Guards against a success report for a record whose effect was never read,
// because a snapshot replaced the state past it.
func TestRecordCoveredByASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		other, stopOther := start(t, log, func(o *Options) { o.Node = "b" })
		defer stopOther()
		reads := &slowReads{log, 4 * time.Second}
		c, stop := start(t, reads, func(o *Options) { o.Replica = ledger.NewReplica(ledger.Options{}) })
		defer stop()
		ctx := within(t, time.Hour)
		result := make(chan error, 1)
		time.Sleep(1500 * time.Millisecond) // Time of the bubble: the slow read has its empty page.
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
		if err := <-result; !errors.Is(err, errMissed) || verdict.Of(err) != verdict.MayHaveRun {
			t.Fatalf("record that was not read: %v", err)
		}
	})
}

// Guards against a node without contact that is taken for one with contact.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logsvc.New(true)
		c, err := New(Options{Node: "a", Incarnation: 1, Log: log, Replica: ledger.NewReplica(ledger.Options{})})
		if err != nil {
			t.Fatal(err)
		}
		if contact := c.Contact(); contact.SinceAppend != Never || contact.SinceRead != Never || contact.ReachedEnd {
			t.Fatalf("contact before the start: %+v", contact)
		}
		running, stop := start(t, log, nil)
		defer stop()
		if _, err := running.Submit(within(t, time.Minute), joinRecord(), Immediate); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(logsvc.Faults{Away: true})
		time.Sleep(10 * time.Second) // Time of the bubble: the outage lasts this long.
		contact := running.Contact()
		if contact.SinceAppend < 10*time.Second || contact.SinceRead < 9*time.Second || !contact.ReachedEnd {
			t.Fatalf("contact after an outage of 10 s: %+v", contact)
		}
	})
}
