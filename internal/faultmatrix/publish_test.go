package faultmatrix

import (
	"context"

	"github.com/google/uuid"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// publishOn publishes changes on a revision and remembers the accepted one.
func (w *world) publishOn(ctx context.Context, client *apiclient.Client, base uint64, changes []objects.Change) error {
	result, err := client.Publish(ctx, gateway.Publication{ID: uuid.NewString(), Author: "matrix", BaseRevision: base, Changes: changes})
	if err == nil {
		w.mu.Lock()
		w.revision = max(w.revision, result.Revision)
		w.mu.Unlock()
	}
	return err
}

// changeLimit publishes a new value of a limit that nothing uses, in the
// background, until it is accepted.
func (w *world) changeLimit(first int, t *trace) {
	w.mu.Lock()
	w.amount += 12
	amount := w.amount
	w.mu.Unlock()
	w.callers.Go(func() {
		change := []objects.Change{{Kind: objects.KindLimit, Name: "supply", Spec: limitSpec(amount)}}
		for i := 0; w.ctx.Err() == nil; i++ {
			if w.publish(t.context(w.ctx), first+i, change) == nil {
				return
			}
			w.until(20*poll, func() bool { return w.ctx.Err() != nil })
		}
	})
}

// watchRevisions records a node whose revision goes down without a restart.
func (w *world) watchRevisions() {
	for _, p := range w.processes {
		w.watchers.Go(func() {
			for w.ctx.Err() == nil {
				w.sampleRevision(p)
				w.until(40*poll, func() bool { return w.ctx.Err() != nil })
			}
		})
	}
}

func (w *world) sampleRevision(p *process) {
	url := p.url()
	client, err := apiclient.New(apiclient.Options{Entries: []string{url}, Key: operatorToken})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, stepWait)
	defer cancel()
	status, err := client.RevisionStatus(ctx, 0)
	if err != nil {
		return
	}
	w.noteRevision(url, status.Current)
}

// noteRevision compares the revision that a process says with what it said before.
func (w *world) noteRevision(process string, revision uint64) {
	w.mu.Lock()
	before := w.seen[process]
	w.seen[process] = max(before, revision)
	w.mu.Unlock()
	if revision < before {
		w.fault("I10: the node at %s went from revision %d back to %d", process, before, revision)
	}
}
