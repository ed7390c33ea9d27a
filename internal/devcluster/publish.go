package devcluster

import (
	"context"
	"io/fs"
	"path"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/examples"
	"github.com/medlarpulley/medlarpulley/internal/apiclient"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/objects"
)

// Client returns a client of all entry nodes. key is the key of a team or the
// operator token.
func (c *Cluster) Client(key string) (*apiclient.Client, error) {
	return apiclient.New(apiclient.Options{Entries: c.Addresses(), Key: key})
}

// Operator returns a client of all entry nodes with the operator token.
func (c *Cluster) Operator() (*apiclient.Client, error) { return c.Client(c.options.OperatorToken) }

// ExampleChanges returns the changes that create the objects of an example
// deployment. name is a folder of the package examples.
func ExampleChanges(name string) ([]objects.Change, error) {
	entries, err := fs.ReadDir(examples.Files, name)
	if err != nil {
		return nil, eris.Wrapf(err, "example %q", name)
	}
	var changes []objects.Change
	for _, e := range entries {
		if e.Name() == "settings.toml" || !strings.HasSuffix(e.Name(), ".toml") {
			continue
		}
		data, err := fs.ReadFile(examples.Files, path.Join(name, e.Name()))
		if err != nil {
			return nil, eris.Wrap(err, e.Name())
		}
		parsed, err := objects.ParseTOML(e.Name(), data)
		if err != nil {
			return nil, err
		}
		changes = append(changes, parsed...)
	}
	return changes, nil
}

// Publish publishes changes based on the current revision and returns the new
// revision.
func (c *Cluster) Publish(ctx context.Context, changes []objects.Change) (uint64, error) {
	client, err := c.Operator()
	if err != nil {
		return 0, err
	}
	list, err := client.Objects(ctx, "", "")
	if err != nil {
		return 0, err
	}
	result, err := client.Publish(ctx, gateway.Publication{
		ID: uuid.NewString(), Author: "dev", BaseRevision: list.Revision, Changes: changes,
	})
	return result.Revision, err
}
