package logclient

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// fillLog writes 20,000 jobs, a snapshot and another 5,000 jobs to the log, and sets
// the retention so that the records before the snapshot are dropped.
func fillLog(b *testing.B, service *logsvc.Service) {
	service.SetFaults(logsvc.Faults{AppendsPerSecond: 1 << 30})
	replica, sequence := ledger.NewReplica(ledger.Options{}), uint64(0)
	add := func(records ...*ledgerv1.Record) {
		sequence++
		payload, err := proto.Marshal(&ledgerv1.Batch{Node: "z", Incarnation: 1, Sequence: sequence, Records: records})
		if err != nil {
			b.Fatal(err)
		}
		offset, err := service.Append(b.Context(), payload)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := replica.Apply(offset, payload); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 20_000 {
		add(jobRecord(fmt.Sprint("job-", i)))
	}
	data, offset, err := replica.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for _, chunk := range ledger.Chunks("z", offset, data) {
		add(&ledgerv1.Record{Kind: &ledgerv1.Record_SnapshotChunk{SnapshotChunk: chunk}})
	}
	for i := range 5_000 {
		add(jobRecord(fmt.Sprint("tail-", i)))
	}
	service.SetFaults(logsvc.Faults{Retention: int(replica.NextOffset() - offset)})
}

// BenchmarkRebuild measures the time from the start of a node without state until
// its join is applied, over HTTP, with 20,000 jobs in the snapshot and 5,000 records
// after it. MiB-heap is the heap of the client and the log service together, less
// that of the log service alone.
func BenchmarkRebuild(b *testing.B) {
	service := logsvc.New(false)
	fillLog(b, service)
	server, err := logsvc.Serve(service, "")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	baseHeap, maxHeap := liveHeapBytes(), uint64(0)
	for i := 0; b.Loop(); i++ {
		// Each iteration adds one record; raise the retention so that the log
		// drops none.
		service.SetFaults(logsvc.Faults{Retention: service.Faults().Retention + 1})
		log, err := platform.NewClient(server.URL(), platform.Options{})
		if err != nil {
			b.Fatal(err)
		}
		c, err := New(Options{Node: fmt.Sprint("n", i), Incarnation: 1, Log: log, Replica: ledger.NewReplica(ledger.Options{})})
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		if _, err := c.Submit(ctx, joinRecord(), Immediate); err != nil {
			b.Fatal(err)
		}
		maxHeap = max(maxHeap, liveHeapBytes()-baseHeap)
		cancel()
		<-done
		log.Close()
	}
	b.ReportMetric(float64(maxHeap)/(1<<20), "MiB-heap")
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
