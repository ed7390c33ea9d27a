package cli

import (
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

func (a *app) addGet() {
	var kind, name string
	cmd := a.command("get", "Show published objects.", func() error {
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		list, err := client.Objects(ctx, objects.Kind(kind), name)
		if err != nil {
			return err
		}
		var rows []table.Row
		for _, o := range list.Objects {
			rows = append(rows, table.Row{o.Kind, o.Name, string(o.Spec)})
		}
		return a.print(list, table.Row{"kind", "name", "spec"}, rows)
	})
	cmd.Arg("kind", "Kind of the objects.").HintOptions(kindNames()...).EnumVar(&kind, kindNames()...)
	cmd.Arg("name", "Name of one object.").StringVar(&name)
}

func kindNames() []string {
	names := make([]string, len(objects.Kinds))
	for i, k := range objects.Kinds {
		names[i] = string(k)
	}
	return names
}

func (a *app) addWithdraw() {
	var refs []string
	var wait, dryRun bool
	cmd := a.command("withdraw", "Withdraw published objects, all or none.", func() error {
		var changes []objects.Change
		for _, ref := range refs {
			kind, name, ok := strings.Cut(ref, "/")
			if !ok || !objects.Kind(kind).Known() || name == "" {
				return usageError{eris.Errorf("%q is not KIND/NAME with a kind of %v", ref, objects.Kinds)}
			}
			changes = append(changes, objects.Change{Kind: objects.Kind(kind), Name: name, Withdrawn: true})
		}
		client, ctx, cancel, err := a.client()
		if err != nil {
			return err
		}
		defer cancel()
		list, err := client.Objects(ctx, "", "")
		if err != nil {
			return err
		}
		if _, err := objects.Apply(list.Objects, changes); err != nil {
			return err
		}
		return a.publish(ctx, client, gateway.Publication{BaseRevision: list.Revision, Changes: changes, DryRun: dryRun}, wait)
	})
	cmd.Arg("objects", "Objects as KIND/NAME.").Required().StringsVar(&refs)
	cmd.Flag("wait", "Return when every live entry node has the revision.").BoolVar(&wait)
	cmd.Flag("dry-run", "Only check.").BoolVar(&dryRun)
}
