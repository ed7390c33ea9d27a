package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// recorder appends records to the log for the shards that this process owns.
type recorder struct{ client *logclient.Client }

// Outcomes implements dispatch.Recorder. An outcome that the ledger ignores
// counts as logged too: the task has an outcome already, the job is unknown, the
// token is stale, or the record's shard is no longer the home shard of the task.
func (r recorder) Outcomes(ctx context.Context, records ...*ledgerv1.Outcomes) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, outcomes := range records {
		record := &ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{Outcomes: outcomes}}
		group.Go(func() error {
			_, err := r.client.Submit(ctx, record, logclient.PriorityOf(record))
			return err
		})
	}
	return group.Wait()
}

// Intents implements dispatch.Recorder. It returns the attempts for which the
// intent took effect.
func (r recorder) Intents(ctx context.Context, intents *ledgerv1.Intents) (map[work.AttemptID]bool, error) {
	record := &ledgerv1.Record{Kind: &ledgerv1.Record_Intents{Intents: intents}}
	receipt, err := r.client.Submit(ctx, record, logclient.PriorityOf(record))
	if err != nil {
		return nil, err
	}
	effective := map[work.AttemptID]bool{}
	if applied, ok := find[ledger.IntentsApplied](receipt.Events); ok {
		for _, id := range applied.Effective {
			effective[id] = true
		}
	}
	return effective, nil
}

// appendEffective appends a record and fails with verdict.DidNotRun if the ledger
// ignored it, for example because the token is stale.
func (r recorder) appendEffective(ctx context.Context, record *ledgerv1.Record) (logclient.Receipt, error) {
	receipt, err := r.client.Submit(ctx, record, logclient.PriorityOf(record))
	if err == nil && ignored(receipt.Events) {
		err = verdict.New(verdict.DidNotRun, "ignored", "the ledger ignored the record")
	}
	return receipt, err
}
