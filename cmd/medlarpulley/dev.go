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

// dev runs a development cluster, or the demo on one.
func dev(ctx context.Context, o cli.DevOptions) error {
	options := devcluster.DefaultOptions()
	options.Nodes, options.Workers, options.Runners = o.Nodes, o.Workers, o.Runners
	options.Logger = slog.Default()
	if o.Demo {
		return demo.Run(ctx, options, os.Stdout)
	}
	options.HTTP = o.HTTP
	c, err := devcluster.Start(options)
	if err != nil {
		return err
	}
	defer c.Close()
	fmt.Printf("Operator token: %s\n", options.OperatorToken)
	for _, m := range c.Members {
		fmt.Printf("%s serves http://%s\n", m.Name, m.Address())
	}
	<-ctx.Done()
	return nil
}
