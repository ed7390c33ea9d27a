package cli

import (
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/objects"
)

func (a *app) addDiff() {
	var files []string
	var from, to uint64
	var prune bool
	cmd := a.command("diff", "Show what files would change, or what changed between two revisions.", func() error {
		if (len(files) > 0) == (to != 0) {
			return usageError{eris.New("give either files or --from and --to")}
		}
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		var changes []objects.Change
		if to != 0 {
			d, err := client.Diff(ctx, from, to)
			if err != nil {
				return err
			}
			changes = d.Changes
		} else if _, changes, err = plannedChanges(ctx, client, files, prune); err != nil {
			return err
		}
		return a.printChanges(struct {
			Changes []objects.Change `json:"changes"`
		}{changes}, changes)
	})
	cmd.Arg("files", "Files or directories of objects.").ExistingFilesOrDirsVar(&files)
	cmd.Flag("from", "Older revision.").Uint64Var(&from)
	cmd.Flag("to", "Newer revision.").Uint64Var(&to)
	cmd.Flag("prune", "Count published objects that the files do not have as withdrawn.").BoolVar(&prune)
}
