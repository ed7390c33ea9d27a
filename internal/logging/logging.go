// Package logging sets up log/slog, with a fixed message prefix for each component
// of the process.
package logging

import (
	"io"
	"log/slog"

	"github.com/rotisserie/eris"
)

// New returns a logger that writes lines of at least the given level (debug, info,
// warn or error) in the given format (text or json).
func New(w io.Writer, level, format string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, eris.Errorf("log format %q, want text or json", format)
	}
}

// WithComponent returns a logger whose messages begin with the name of a
// component.
func WithComponent(l *slog.Logger, component string) *slog.Logger {
	return slog.New(prefixHandler{l.Handler(), component + ": "})
}
