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

// Store is what the package needs of the platform's store.
type Store interface {
	Append(ctx context.Context, topic string, p platform.Producer, records []platform.Record) (end uint64, err error)
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (platform.Page, error)
	Newest(ctx context.Context, topic, after string) (p platform.Page, more bool, err error)
}

const (
	// firstAnswer is how long the first try of an append may take; each further
	// try gets twice as long, up to maxAnswer, for a store that is only slow.
	firstAnswer = 700 * time.Millisecond
	maxAnswer   = 4 * time.Second
	// refusedPause is the wait after a call that the store refused.
	refusedPause = 60 * time.Millisecond
)

// settle repeats an append under one sequence number until it is known to be
// stored, or until it is known that it never will be, or ctx ends. The store
// answers a repeat like the first try, so nothing is stored twice.
func settle(ctx context.Context, s Store, log *slog.Logger, topic string, p platform.Producer, records []platform.Record, refused func(try int) (giveUp bool)) error {
	unknown := false
	answer := firstAnswer
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, answer)
		_, err := s.Append(callCtx, topic, p, records)
		cancel()
		var seq *platform.SequenceError
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrFenced):
			return err
		case errors.As(err, &seq) && seq.Expected == p.Seq+1:
			return nil // an earlier try was stored, and its answer lost
		case verdict.Of(err) == verdict.DidNotRun:
			if giveUp := refused(try); !unknown && (seq != nil || giveUp) {
				return err
			}
		default:
			unknown = true
			answer = min(2*answer, maxAnswer)
		}
		if try&(try-1) == 0 { // a long outage must not fill the log
			log.Warn("An append is tried again.", "producer", p.Name, "seq", p.Seq, "try", try, "records", len(records), "verdict", verdict.Of(err).String(), "error", short(err))
		}
		select {
		case <-ctx.Done():
			if unknown {
				return verdict.Wrap(eris.Wrap(err, "append not settled"), verdict.MayHaveRun, "unsettled")
			}
			return verdict.Wrap(err, verdict.DidNotRun, "store-unavailable")
		case <-time.After(refusedPause):
		}
	}
}

// short returns a short form of an error for a log line.
func short(err error) string {
	const most = 160
	text := err.Error()
	if len(text) > most {
		text = text[:most]
	}
	return text
}
