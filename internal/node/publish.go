package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// publishTimeout is the timeout for announcing a publication and appending it to
// the log.
const publishTimeout = 10 * time.Second

// Publish implements gateway.Backend. Every node derives the same result from the
// order of the log; this node reports the result that it read.
func (n *Node) Publish(ctx context.Context, p gateway.Publication) (gateway.PublishResult, error) {
	current := n.configurations.get()
	set, err := current.set.Apply(p.Changes)
	if err != nil && p.BaseRevision == current.revision {
		return gateway.PublishResult{}, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeInvalidObjects)
	}
	if p.DryRun {
		if err != nil {
			return gateway.PublishResult{}, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeInvalidObjects)
		}
		changes := objects.Diff(current.set.Objects(), set.Objects())
		return gateway.PublishResult{Revision: current.revision, DryRun: true, Changes: changes}, nil
	}
	if n.draining.Load() {
		return gateway.PublishResult{}, refused(gateway.CodeDraining, 0, "this entry node is draining")
	}
	if n.logUnavailable() {
		return gateway.PublishResult{}, refused(gateway.CodeLogUnavailable, logRetryAfter, "the log is unavailable; the publication is not in force")
	}
	record, err := publicationRecord(p)
	if err != nil {
		return gateway.PublishResult{}, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := n.announce(ctx, p.ID); err != nil {
		return gateway.PublishResult{}, err
	}
	receipt, err := n.logClient.Submit(ctx, record, logclient.Immediate)
	if err != nil {
		if verdict.Of(err) == verdict.DidNotRun {
			n.withdrawAnnouncement(p.ID)
		}
		return gateway.PublishResult{}, verdict.Wrap(err, verdict.Of(err), gateway.CodeLogUnavailable)
	}
	return publicationResult(p, receipt.Events)
}

// publicationRecord returns the log record of a publication with canonical specs.
func publicationRecord(p gateway.Publication) (*ledgerv1.Record, error) {
	out := &ledgerv1.Publication{Id: p.ID, Author: p.Author, BaseRevision: p.BaseRevision}
	for _, c := range p.Changes {
		change := &ledgerv1.ObjectChange{Kind: string(c.Kind), Name: c.Name, Withdrawn: c.Withdrawn}
		if !c.Withdrawn {
			spec, err := objects.Canonical(objects.Object{Kind: c.Kind, Name: c.Name, Spec: c.Spec})
			if err != nil {
				return nil, err
			}
			change.Spec = spec
		}
		out.Changes = append(out.Changes, change)
	}
	return &ledgerv1.Record{Kind: &ledgerv1.Record_Publication{Publication: out}}, nil
}

// publicationResult returns the result of a publication from the events of its
// record.
func publicationResult(p gateway.Publication, events []ledger.Event) (gateway.PublishResult, error) {
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.ConfigurationAccepted:
			return gateway.PublishResult{Revision: ev.Revision, Changes: p.Changes}, nil
		case ledger.ConfigurationConflict:
			conflict := &gateway.Conflict{Revision: ev.Revision}
			for _, o := range ev.Conflicts {
				conflict.Changes = append(conflict.Changes, objects.Change{
					Kind: objects.Kind(o.Kind), Name: o.Name, Spec: json.RawMessage(o.Spec), Withdrawn: len(o.Spec) == 0,
				})
			}
			return gateway.PublishResult{}, verdict.Wrap(conflict, verdict.DidNotRun, gateway.CodeConflict)
		case ledger.ConfigurationRefused:
			return gateway.PublishResult{}, verdict.Wrap(faultsOf(ev.Problems), verdict.DidNotRun, gateway.CodeInvalidObjects)
		}
	}
	return gateway.PublishResult{}, refused(gateway.CodeUnavailable, logRetryAfter, "the publication was not accepted: its log record had no effect")
}

// faultsOf converts problems of the ledger to faults of objects.
func faultsOf(problems []ledger.Problem) objects.Faults {
	faults := make(objects.Faults, 0, len(problems))
	for _, p := range problems {
		faults = append(faults, objects.Fault{Object: p.Kind + "/" + p.Name, Field: p.Field, Value: p.Value, Accepted: p.Want})
	}
	return faults
}

// Objects implements gateway.Backend.
func (n *Node) Objects(_ context.Context, q gateway.ObjectQuery) (gateway.ObjectList, error) {
	c := n.configurations.get()
	list := gateway.ObjectList{Revision: c.revision, Objects: []objects.Object{}}
	for _, o := range c.set.Objects() {
		if (q.Kind == "" || o.Kind == q.Kind) && (q.Name == "" || o.Name == q.Name) {
			list.Objects = append(list.Objects, o)
		}
	}
	return list, nil
}

// Diff implements gateway.Backend.
func (n *Node) Diff(_ context.Context, from, to uint64) (gateway.RevisionDiff, error) {
	if to == 0 {
		to = n.configurations.get().revision
	}
	before, ok := n.configurations.objectsAt(from)
	if !ok {
		return gateway.RevisionDiff{}, refused(gateway.CodeGone, 0, "revision %d is not kept by this node", from)
	}
	after, ok := n.configurations.objectsAt(to)
	if !ok {
		return gateway.RevisionDiff{}, refused(gateway.CodeGone, 0, "revision %d is not kept by this node", to)
	}
	return gateway.RevisionDiff{From: from, To: to, Changes: objects.Diff(before, after)}, nil
}
