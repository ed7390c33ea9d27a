package main

import (
	"context"
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/node"
)

// entry runs one node of a cell, the process that serves callers. It returns once
// ctx is done and the graceful shutdown has completed, or on an error.
func entry(ctx context.Context, s config.Settings) error {
	n, err := node.New(s, slog.Default())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
