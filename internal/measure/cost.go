package measure

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/devcluster"
	"github.com/medlarpulley/medlarpulley/internal/node"
	"github.com/medlarpulley/medlarpulley/internal/peer"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Cost is the cost of the control plane over a part of a run. Rates are per
// second.
type Cost struct {
	Seconds float64       `json:"seconds"`
	Nodes   []ProcessCost `json:"nodes"`
	// The byte rates are the sums over all nodes, headers included. In and Out are
	// seen from the workers, the log and the host list.
	WorkerBytesIn    float64 `json:"worker_bytes_to_workers"`
	WorkerBytesOut   float64 `json:"worker_bytes_from_workers"`
	WorkerExchanges  float64 `json:"worker_exchanges"`
	LogBytesIn       float64 `json:"log_bytes_to_log"`
	LogBytesOut      float64 `json:"log_bytes_from_log"`
	HostListBytesOut float64 `json:"host_list_bytes_from_list"`
	Appends          float64 `json:"appends"`
	// Records holds the rate of log records by kind.
	Records map[string]float64 `json:"records"`
	Starts  float64            `json:"starts"`
	Running int                `json:"running"`
}

// ProcessCost is the cost of one entry node.
type ProcessCost struct {
	Node string `json:"node"`
	// CorePercent is the CPU time in percent of one core.
	CorePercent float64 `json:"core_percent"`
	MemoryMB    float64 `json:"memory_mb"`
	PeakMB      float64 `json:"peak_mb"`
	Shards      int     `json:"shards"`
	// PeerBytes and PeerMessages count sent plus received traffic between nodes,
	// per second; PeerMessages is by method.
	PeerBytes    float64            `json:"peer_bytes"`
	PeerMessages map[string]float64 `json:"peer_messages"`
}

// counters holds the values of all counters at one time.
type counters struct {
	at      time.Time
	usage   []usage
	dumps   []node.Dump
	traffic devcluster.Traffic
	records int
	starts  int
}

// dump returns the state dump of a process, or the zero value if the process does
// not respond.
func (tb *testbed) dump(ctx context.Context, p *process) (d node.Dump) {
	raw, err := tb.operator.Dump(ctx, "http://"+p.address)
	if err == nil {
		_ = json.Unmarshal(raw, &d)
	}
	return d
}

// readCounters reads all counters. A cost is the difference of two readings. The
// first reading takes the dumps before it reads the CPU time, the second one
// after it, so that the cost of the dumps is not measured.
func (tb *testbed) readCounters(ctx context.Context, first bool) counters {
	var r counters
	if first {
		r.dumps = tb.dumps(ctx)
	}
	r.at = time.Now()
	for _, p := range tb.processes {
		r.usage = append(r.usage, p.usage())
	}
	r.traffic = tb.cluster.Traffic()
	r.records = len(tb.cluster.Log.Appended())
	r.starts = len(tb.cluster.Fleet.Journal().Executions())
	if !first {
		r.dumps = tb.dumps(ctx)
	}
	return r
}

func (tb *testbed) dumps(ctx context.Context) (out []node.Dump) {
	for _, p := range tb.processes {
		out = append(out, tb.dump(ctx, p))
	}
	return out
}

// costBetween returns the cost between the readings a and b.
func (tb *testbed) costBetween(a, b counters) Cost {
	seconds := b.at.Sub(a.at).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / seconds }
	c := Cost{
		Seconds:         seconds,
		WorkerBytesIn:   rate(a.traffic.WorkerIn, b.traffic.WorkerIn),
		WorkerBytesOut:  rate(a.traffic.WorkerOut, b.traffic.WorkerOut),
		WorkerExchanges: rate(a.traffic.Exchanges, b.traffic.Exchanges),
		LogBytesIn:      rate(a.traffic.LogIn, b.traffic.LogIn), LogBytesOut: rate(a.traffic.LogOut, b.traffic.LogOut),
		HostListBytesOut: rate(a.traffic.HostListOut, b.traffic.HostListOut),
		Appends:          rate(uint64(a.records), uint64(b.records)), Starts: rate(uint64(a.starts), uint64(b.starts)),
		Records: tb.recordRates(a, b, seconds),
	}
	for _, e := range tb.cluster.Fleet.Journal().Executions() {
		if !e.Ended {
			c.Running++
		}
	}
	for i, p := range tb.processes {
		c.Nodes = append(c.Nodes, processCost(p.name, a, b, i, seconds))
	}
	return c
}

func processCost(name string, a, b counters, i int, seconds float64) ProcessCost {
	out := ProcessCost{
		Node: name, CorePercent: 100 * max(0, (b.usage[i].cpu-a.usage[i].cpu).Seconds()) / seconds,
		MemoryMB: float64(b.usage[i].memory) / 1e6, PeakMB: float64(b.usage[i].peak) / 1e6,
		Shards: len(b.dumps[i].Shards), PeerMessages: map[string]float64{},
	}
	if a.dumps[i].Incarnation != b.dumps[i].Incarnation {
		// The counters of a restarted process start at zero.
		a.dumps[i].Peer = map[string]peer.Count{}
	}
	for _, method := range slices.Sorted(maps.Keys(b.dumps[i].Peer)) {
		from, to := a.dumps[i].Peer[method], b.dumps[i].Peer[method]
		out.PeerBytes += float64(to.BytesIn+to.BytesOut-from.BytesIn-from.BytesOut) / seconds
		if n := to.MessagesIn + to.MessagesOut - from.MessagesIn - from.MessagesOut; n > 0 {
			out.PeerMessages[method] = float64(n) / seconds
		}
	}
	return out
}

// recordRates returns the number of log records per second by kind, decoded from
// the batches that were appended between the readings a and b.
func (tb *testbed) recordRates(a, b counters, seconds float64) map[string]float64 {
	out := map[string]float64{}
	for _, r := range tb.cluster.Log.Appended()[a.records:b.records] {
		var batch ledgerv1.Batch
		if proto.Unmarshal(r.Payload, &batch) != nil {
			continue
		}
		for _, record := range batch.Records {
			m := record.ProtoReflect()
			if f := m.WhichOneof(m.Descriptor().Oneofs().ByName("kind")); f != nil {
				out[string(f.Name())] += 1 / seconds
			}
		}
	}
	return out
}
