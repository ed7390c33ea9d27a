package faultmatrix

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// loggedRecord is one record of the log, with its offset and the node that
// appended it.
type loggedRecord struct {
	offset uint64
	node   string
	record *ledgerv1.Record
}

// records returns the records that the stand-in for the log holds from an offset on.
func (tc *testCluster) records(from uint64) []loggedRecord {
	var out []loggedRecord
	for _, r := range tc.cluster.Log.Appended() {
		var b ledgerv1.Batch
		if r.Offset < from || proto.Unmarshal(r.Payload, &b) != nil {
			continue
		}
		for _, record := range b.Records {
			out = append(out, loggedRecord{r.Offset, b.Node, record})
		}
	}
	return out
}

// nextOffset returns the offset that the next append gets.
func (tc *testCluster) nextOffset() uint64 { return uint64(len(tc.cluster.Log.Appended())) + 1 }

// findRecord returns the node that appended the first matching record from an
// offset on.
func (tc *testCluster) findRecord(from uint64, match func(*ledgerv1.Record) bool) (location, bool) {
	for _, r := range tc.records(from) {
		if match(r.record) {
			return location{node: r.node}, true
		}
	}
	return location{}, false
}

// owners returns the owner of each shard according to the claims in the log. A
// claim is valid if it supersedes the current token of the shard.
func (tc *testCluster) owners() map[string]string {
	out, tokens := map[string]string{}, map[string]uint64{}
	for _, r := range tc.records(0) {
		if c := r.record.GetClaim(); c != nil && c.Supersedes == tokens[c.Shard] {
			tokens[c.Shard], out[c.Shard] = r.offset, r.node
		}
	}
	return out
}

// owner returns the owner of the home shard of a job.
func (tc *testCluster) owner(job string) string {
	for _, r := range tc.records(0) {
		if a := r.record.GetJobAccepted(); a != nil && a.Job.Id == job && len(a.Parts) > 0 {
			return tc.owners()[a.Parts[0].Shard]
		}
	}
	return ""
}

// reportsShard reports whether a process says that it owns a shard now.
func (tc *testCluster) reportsShard(p *process, shard string) bool {
	client, err := apiclient.New(apiclient.Options{Entries: []string{p.httpAddress()}, Key: operatorToken})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(tc.ctx, 2*time.Second)
	defer cancel()
	raw, err := client.Dump(ctx, client.Entries()[0])
	var dump struct {
		Shards []struct {
			Shard    string `json:"shard"`
			Draining bool   `json:"draining"`
		} `json:"shards"`
	}
	if err != nil || json.Unmarshal(raw, &dump) != nil {
		return false
	}
	for _, s := range dump.Shards {
		if s.Shard == shard && !s.Draining {
			return true
		}
	}
	return false
}
