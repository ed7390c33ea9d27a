package logging

import (
	"context"
	"log/slog"
)

// prefixHandler is a slog.Handler that puts a prefix before each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{h.Handler.WithAttrs(attrs), h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{h.Handler.WithGroup(name), h.prefix}
}
