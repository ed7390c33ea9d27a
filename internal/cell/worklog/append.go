package worklog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Store is the part of the platform's store that the package uses.
type Store interface {
	Append(ctx context.Context, topic string, p platform.Producer, records []platform.Record) (end uint64, err error)
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (platform.Page, error)
	Newest(ctx context.Context, topic, after string) (p platform.Page, more bool, err error)
}

const (
	// firstAppendTimeout is the timeout of the first try of an append. It doubles
	// after each try without an answer, up to maxAppendTimeout, for a store that is
	// only slow.
	firstAppendTimeout = 700 * time.Millisecond
	maxAppendTimeout   = 4 * time.Second
	// appendRetryInterval is the wait after a failed try.
	appendRetryInterval = 60 * time.Millisecond
)

// appendUntilResolved retries an append under one sequence number until it is
// known to be stored, or known never to be stored, or ctx ends. The store does not
// store a sequence number twice: it answers a repeat with success, or with the next
// sequence number. onRefused is called for
// each try that the store refused, and reports whether to give up.
func appendUntilResolved(ctx context.Context, s Store, log *slog.Logger, topic string, p platform.Producer, records []platform.Record, onRefused func(try int) (giveUp bool)) error {
	outcomeUnknown := false
	timeout := firstAppendTimeout
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		_, err := s.Append(callCtx, topic, p, records)
		cancel()
		var seq *platform.SequenceError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrFenced):
			return err
		case errors.As(err, &seq) && seq.Expected == p.Seq+1:
			return nil // an earlier try was stored, but its answer was lost
		case verdict.Of(err) == verdict.DidNotRun:
			if giveUp := onRefused(try); !outcomeUnknown && (seq != nil || giveUp) {
				return err
			}
		default:
			outcomeUnknown = true
			timeout = min(2*timeout, maxAppendTimeout)
		}
		if try&(try-1) == 0 { // a long outage must not fill the log
			log.Warn("An append failed and is tried again.", "producer", p.Name, "seq", p.Seq, "try", try, "records", len(records), "verdict", verdict.Of(err).String(), "error", truncatedText(err))
		}
		select {
		case <-ctx.Done():
			if outcomeUnknown {
				return verdict.Wrap(eris.Wrap(err, "append with unknown outcome"), verdict.MayHaveRun, "unsettled")
			}
			return verdict.Wrap(err, verdict.DidNotRun, "store-unavailable")
		case <-time.After(appendRetryInterval):
		}
	}
}

// truncatedText returns the text of an error, cut to a length that suits a log line.
func truncatedText(err error) string {
	const maxLength = 160
	text := err.Error()
	if len(text) > maxLength {
		text = text[:maxLength]
	}
	return text
}
