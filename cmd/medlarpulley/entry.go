package main

import (
	"context"
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/node"
)

// entry runs one entry process of a cell. It returns once ctx is done and the
// planned stop has completed.
func entry(ctx context.Context, s config.Settings) error {
	n, err := node.New(s, slog.Default())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
