package faultmatrix

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// logged is one record of the log with its sender.
type logged struct {
	offset uint64
	node   string
	record *ledgerv1.Record
}

// records returns the records from an offset on, from the log's own copy.
func (w *world) records(from uint64) []logged {
	var out []logged
	for _, r := range w.cluster.Log.Appended() {
		var b ledgerv1.Batch
		if r.Offset < from || proto.Unmarshal(r.Payload, &b) != nil {
			continue
		}
		for _, record := range b.Records {
			out = append(out, logged{r.Offset, b.Node, record})
		}
	}
	return out
}

// next returns the offset that the next record gets.
func (w *world) next() uint64 { return uint64(len(w.cluster.Log.Appended())) + 1 }

// find returns the sender of the first record from an offset on that matches.
func (w *world) find(from uint64, match func(*ledgerv1.Record) bool) (place, bool) {
	for _, r := range w.records(from) {
		if match(r.record) {
			return place{node: r.node}, true
		}
	}
	return place{}, false
}

// owners returns the owner of each shard by the claims in the log.
func (w *world) owners() map[string]string {
	out, tokens := map[string]string{}, map[string]uint64{}
	for _, r := range w.records(0) {
		if c := r.record.GetClaim(); c != nil && c.Supersedes == tokens[c.Shard] {
			tokens[c.Shard], out[c.Shard] = r.offset, r.node
		}
	}
	return out
}

// owner returns the owner of the home shard of a job.
func (w *world) owner(job string) string {
	for _, r := range w.records(0) {
		if a := r.record.GetJobAccepted(); a != nil && a.Job.Id == job && len(a.Parts) > 0 {
			return w.owners()[a.Parts[0].Shard]
		}
	}
	return ""
}
