package main

import (
	"context"
	"log/slog"

	"github.com/medlarpulley/medlarpulley/internal/node"
	"github.com/medlarpulley/medlarpulley/internal/settings"
)

// serve runs one entry node until ctx is done and its planned stop is over.
func serve(ctx context.Context, s settings.Settings) error {
	n, err := node.New(s, slog.Default())
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
