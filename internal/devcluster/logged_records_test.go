package devcluster

import (
	"testing"

	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// loggedRecords returns the records in the log of a cluster, in their order.
func loggedRecords(t *testing.T, c *Cluster) (records []*ledgerv1.Record) {
	t.Helper()
	for _, r := range c.Log.Appended() {
		var batch ledgerv1.Batch
		if err := proto.Unmarshal(r.Payload, &batch); err != nil {
			t.Fatal(err)
		}
		records = append(records, batch.Records...)
	}
	return records
}
