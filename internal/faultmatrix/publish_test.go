package faultmatrix

import (
	"context"

	"github.com/google/uuid"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// publishOn publishes changes based on the given revision and records the highest
// accepted revision.
func (tc *testCluster) publishOn(ctx context.Context, client *apiclient.Client, base uint64, changes []objects.Change) error {
	result, err := client.Publish(ctx, gateway.Publication{ID: uuid.NewString(), Author: "matrix", BaseRevision: base, Changes: changes})
	if err == nil {
		tc.mu.Lock()
		tc.revision = max(tc.revision, result.Revision)
		tc.mu.Unlock()
	}
	return err
}

// changeLimit publishes a new value of a limit that no job of the test uses. It
// retries in the background until the publication is accepted.
func (tc *testCluster) changeLimit(first int, t *trace) {
	tc.mu.Lock()
	tc.limitAmount += 12
	amount := tc.limitAmount
	tc.mu.Unlock()
	tc.callers.Go(func() {
		change := []objects.Change{{Kind: objects.KindLimit, Name: "supply", Spec: limitSpec(amount)}}
		for i := 0; tc.ctx.Err() == nil; i++ {
			if tc.publish(t.context(tc.ctx), first+i, change) == nil {
				return
			}
			tc.waitFor(20*pollInterval, func() bool { return tc.ctx.Err() != nil })
		}
	})
}

// watchRevisions polls the revision of every node and records a violation if it
// decreases without a restart.
func (tc *testCluster) watchRevisions() {
	for _, p := range tc.processes {
		tc.watchers.Go(func() {
			for tc.ctx.Err() == nil {
				tc.readRevision(p)
				tc.waitFor(40*pollInterval, func() bool { return tc.ctx.Err() != nil })
			}
		})
	}
}

func (tc *testCluster) readRevision(p *process) {
	url := p.httpAddress()
	client, err := apiclient.New(apiclient.Options{Entries: []string{url}, Key: operatorToken})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(tc.ctx, stepTimeout)
	defer cancel()
	status, err := client.RevisionStatus(ctx, 0)
	if err != nil {
		return
	}
	tc.checkRevision(url, status.Current)
}

// checkRevision compares the revision that a process reports with the highest
// revision that it reported before.
func (tc *testCluster) checkRevision(process string, revision uint64) {
	tc.mu.Lock()
	before := tc.revisionSeen[process]
	tc.revisionSeen[process] = max(before, revision)
	tc.mu.Unlock()
	if revision < before {
		tc.recordViolation("I10: the node at %s reverted from revision %d to %d", process, before, revision)
	}
}
