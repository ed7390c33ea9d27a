package main

import (
	"context"
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/node"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// serve runs one entry node. It returns once ctx is done and the planned stop
// has completed.
func serve(ctx context.Context, s settings.Settings) error {
	n, err := node.New(s, slog.Default())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
