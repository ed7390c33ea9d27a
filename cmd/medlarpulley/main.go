// Command medlarpulley is a cluster scheduler. One binary contains the entry
// node of a cluster (serve), the node of a cell (entry), a development cluster
// (dev), a measurement of a cluster under load (measure), and the commands of
// operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/medlarpulley/medlarpulley/internal/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// After the first signal the default handling is restored, so a second one
	// ends the process at once.
	context.AfterFunc(ctx, stop)
	return cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cli.Handlers{
		Serve: serve, Entry: entry, Dev: dev, Measure: runMeasure,
	})
}
