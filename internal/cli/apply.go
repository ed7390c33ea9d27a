package cli

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// revisionPollInterval is the interval at which apply --wait asks on how many
// members a revision is in force.
const revisionPollInterval = 200 * time.Millisecond

func (a *app) addApply() {
	var files []string
	var wait, dryRun, prune bool
	var base uint64
	cmd := a.command("apply", "Publish the objects in files as a whole or not at all.", func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		list, changes, err := plannedChanges(ctx, client, files, prune)
		if err != nil {
			return err
		}
		if base != 0 {
			list.Revision = base
		}
		return a.publish(ctx, client, gateway.Publication{BaseRevision: list.Revision, Changes: changes, DryRun: dryRun}, wait)
	})
	cmd.Arg("files", "Files or directories of objects.").Required().ExistingFilesOrDirsVar(&files)
	cmd.Flag("wait", "Return when every live entry node has the revision.").BoolVar(&wait)
	cmd.Flag("dry-run", "Only check.").BoolVar(&dryRun)
	cmd.Flag("prune", "Withdraw published objects that the files do not have.").BoolVar(&prune)
	cmd.Flag("base", "Revision that the files were written against; the current one if not given.").Uint64Var(&base)
}

// plannedChanges returns the published objects and the changes that would make
// them match the files. Without prune, objects that are in no file stay.
func plannedChanges(ctx context.Context, client *apiclient.Client, files []string, prune bool) (gateway.ObjectList, []objects.Change, error) {
	list, err := client.Objects(ctx, "", "")
	if err != nil {
		return list, nil, err
	}
	current := list.Objects
	if prune {
		current = nil
	}
	set, err := applyFiles(current, files)
	if err != nil {
		return list, nil, err
	}
	return list, objects.Diff(list.Objects, set.Objects()), nil
}

func (a *app) publish(ctx context.Context, client *apiclient.Client, p gateway.Publication, wait bool) error {
	if len(p.Changes) == 0 {
		return a.printResult(publishOutput{Revision: p.BaseRevision})
	}
	p.ID, p.Author = uuid.NewString(), author()
	result, err := client.Publish(ctx, p)
	if err != nil {
		return err
	}
	out := publishOutput{Revision: result.Revision, DryRun: p.DryRun, Changes: p.Changes}
	if wait && !p.DryRun {
		status, err := awaitRevision(ctx, client, result.Revision)
		if err != nil {
			return err
		}
		out.InForce, out.Members = status.InForce, status.Members
	}
	return a.printResult(out)
}

// awaitRevision waits until a revision is in force on all live members.
func awaitRevision(ctx context.Context, client *apiclient.Client, revision uint64) (gateway.RevisionStatus, error) {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for {
		status, err := client.RevisionStatus(ctx, revision)
		if err == nil && status.Members > 0 && status.InForce >= status.Members {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, verdict.New(verdict.DidRun, gateway.CodeDeadline,
				"revision %d is accepted, and in force on %d of %d members so far; behind: %v", revision, status.InForce, status.Members, status.Behind)
		case <-ticker.C:
		}
	}
}

// publishOutput is the output of apply and withdraw.
type publishOutput struct {
	Revision uint64           `json:"revision"`
	DryRun   bool             `json:"dry_run,omitempty"`
	Changes  []objects.Change `json:"changes"`
	InForce  int              `json:"in_force,omitempty"`
	Members  int              `json:"members,omitempty"`
}

func (a *app) printResult(p publishOutput) error {
	if err := a.printChanges(p, p.Changes); err != nil || a.output == "json" {
		return err
	}
	line := fmt.Sprintf("revision %d", p.Revision)
	switch {
	case len(p.Changes) == 0:
		line += ", no change"
	case p.DryRun:
		line += ", would be accepted"
	case p.Members > 0:
		line += fmt.Sprintf(", in force on %d of %d members", p.InForce, p.Members)
	default:
		line += ", accepted"
	}
	_, err := fmt.Fprintln(a.std.Out, line)
	return err
}

func (a *app) printChanges(value any, changes []objects.Change) error {
	var rows []table.Row
	for _, c := range changes {
		action, spec := "set", string(c.Spec)
		if c.Withdrawn {
			action = "withdraw"
		}
		rows = append(rows, table.Row{action, c.Ref(), spec})
	}
	if len(rows) == 0 && a.output != "json" {
		return nil
	}
	return a.print(value, table.Row{"action", "object", "spec"}, rows)
}

// author returns the user name that a publication gives as its author.
func author() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
