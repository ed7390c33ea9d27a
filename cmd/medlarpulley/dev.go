package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/medlarpulley/medlarpulley/internal/cli"
	"github.com/medlarpulley/medlarpulley/internal/demo"
	"github.com/medlarpulley/medlarpulley/internal/devcluster"
)

// dev runs a development cluster, or the demo in such a cluster.
func dev(ctx context.Context, o cli.DevOptions) error {
	options := devcluster.DefaultOptions()
	options.Nodes, options.Workers, options.Runners = o.Nodes, o.Workers, o.Runners
	options.Logger = slog.Default()
	if o.Demo {
		return demo.Run(ctx, options, os.Stdout)
	}
	options.HTTP, options.Upstream = o.HTTP, demo.Upstream
	c, err := devcluster.Start(options)
	if err != nil {
		return err
	}
	defer c.Close()
	changes := o.Objects
	if len(changes) == 0 {
		if changes, err = devcluster.ExampleChanges(demo.Example); err != nil {
			return err
		}
	}
	if err := demo.Publish(ctx, c, changes); err != nil {
		return err
	}
	for _, m := range c.Members {
		fmt.Printf("%s serves http://%s\n", m.Name, m.Address())
	}
	fmt.Printf("Operator token: %s\n", options.OperatorToken)
	fmt.Println("The key of a team of the example is TEAM-example-secret.")
	<-ctx.Done()
	return nil
}
