package logclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	platform "github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
	"github.com/medlarpulley/medlarpulley/internal/standin/logsvc"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// recordingLog records the start time of each append.
type recordingLog struct {
	platform.Log
	mu          sync.Mutex
	appendTimes []time.Time
}

func (l *recordingLog) Append(ctx context.Context, payload []byte) (uint64, error) {
	l.mu.Lock()
	l.appendTimes = append(l.appendTimes, time.Now())
	l.mu.Unlock()
	return l.Log.Append(ctx, payload)
}

func (l *recordingLog) startTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time{}, l.appendTimes...)
}

// startClient runs a client on the log until the test ends or stop is called.
func startClient(t *testing.T, log platform.Log, modify func(*Options)) (c *Client, stop func()) {
	t.Helper()
	opts := Options{Node: "a", Incarnation: 1, Log: log, Replica: ledger.NewReplica(ledger.Options{})}
	if modify != nil {
		modify(&opts)
	}
	c, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.Run(ctx); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return c, stop
}

func jobRecord(id string) *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_JobAccepted{JobAccepted: &ledgerv1.JobAccepted{
		Job: &ledgerv1.Job{Id: id, Tasks: 1}, Parts: []*ledgerv1.Part{{Shard: "s", Count: 1}}}}}
}

func joinRecord() *ledgerv1.Record {
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Join{Join: &ledgerv1.Join{Nodes: 1}}}
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// appliedCounts returns for each job in the log how often a replica applies its
// record: how often the job is accepted, or found to be a duplicate in a batch that
// is not ignored.
func appliedCounts(t *testing.T, log *logsvc.Service) map[string]int {
	t.Helper()
	state, counts := ledger.New(ledger.Options{}), map[string]int{}
	for _, record := range log.Appended() {
		events, err := state.Apply(record.Offset, record.Payload)
		if err != nil {
			t.Fatalf("apply %d: %v", record.Offset, err)
		}
		for _, event := range events {
			switch e := event.(type) {
			case ledger.JobAccepted:
				counts[string(e.Job.ID)]++
			case ledger.JobDuplicate:
				counts[string(e.Job)]++
			}
		}
	}
	return counts
}

// countDuplicates returns the number of batches in the log that have the node,
// incarnation and sequence number of an earlier one.
func countDuplicates(t *testing.T, log *logsvc.Service) int {
	seen, n := map[string]bool{}, 0
	for _, record := range log.Appended() {
		var b ledgerv1.Batch
		if err := proto.Unmarshal(record.Payload, &b); err != nil {
			t.Fatal(err)
		}
		key := fmt.Sprint(b.Node, b.Incarnation, b.Sequence)
		if seen[key] {
			n++
		}
		seen[key] = true
	}
	return n
}
