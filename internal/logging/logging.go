// Package logging sets up log/slog with a fixed prefix for each part.
package logging

import (
	"io"
	"log/slog"

	"github.com/rotisserie/eris"
)

// New returns a logger that writes lines of at least a level (debug, info,
// warn or error) in a format (text or json).
func New(w io.Writer, level, format string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	options := &slog.HandlerOptions{Level: least}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, eris.Errorf("log format %q, want text or json", format)
	}
}

// Part returns a logger whose messages begin with the name of a part.
func Part(l *slog.Logger, part string) *slog.Logger {
	return slog.New(prefixHandler{l.Handler(), part + ": "})
}
