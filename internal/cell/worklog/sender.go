package worklog

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// minAppendTimeout is the least timeout of the first try of an append. It doubles
	// after each try without an answer, up to maxAppendTimeout, and is at least
	// answerTimeFactor times the time that the store takes at present: a repeated
	// append takes a turn in the store's queue, so that repeats at a store that is only
	// slow make it slower. An append may wait for those of several other nodes.
	minAppendTimeout = 700 * time.Millisecond
	maxAppendTimeout = 4 * time.Second
	answerTimeFactor = 6
	// appendRetryInterval is the wait after a failed try.
	appendRetryInterval = 60 * time.Millisecond
	// confirmedAnswerTimeout is how long the answer of an append is awaited after its
	// records have been read from the topic. Its connection is closed then.
	confirmedAnswerTimeout = 30 * time.Millisecond
)

// Target is where a sender appends, and what it needs for that.
type Target struct {
	Store Store
	Clock cell.Clock
	// Meter measures the answers of the store.
	Meter *latency.Meter
	Log   *slog.Logger
	Topic string
	// Mark returns the record that is appended behind the records of an append, and
	// that no other append holds. It is nil if appends are not marked; only a marked
	// append can be confirmed by Observe.
	Mark func(p platform.Producer) platform.Record
}

// sender appends records for one producer, one append at a time.
type sender struct {
	Target

	markMu sync.Mutex
	// mark is the mark of the append in flight; its key is empty if there is none.
	mark platform.Record
	// confirmed is closed once mark has been read from the topic.
	confirmed chan struct{}
}

// Observe is called with records that were read from the topic in their order. If
// the mark of the append in flight is among them, the append is stored, even if its
// answer is late or lost.
func (s *sender) Observe(records []platform.Record) {
	s.markMu.Lock()
	defer s.markMu.Unlock()
	if s.mark.Key == "" {
		return
	}
	for _, r := range records {
		if r.Key == s.mark.Key && bytes.Equal(r.Value, s.mark.Value) {
			s.mark = platform.Record{}
			close(s.confirmed)
			return
		}
	}
}

// begin returns the records with their mark, and the channel that Observe closes.
func (s *sender) begin(p platform.Producer, records []platform.Record) ([]platform.Record, <-chan struct{}) {
	if s.Mark == nil {
		return records, nil
	}
	s.markMu.Lock()
	defer s.markMu.Unlock()
	s.mark, s.confirmed = s.Mark(p), make(chan struct{})
	return append(records[:len(records):len(records)], s.mark), s.confirmed
}

func (s *sender) end() {
	s.markMu.Lock()
	defer s.markMu.Unlock()
	s.mark = platform.Record{}
}

// appendUntilResolved retries an append under one sequence number until it is
// known to be stored, or known never to be stored, or ctx ends. The store does not
// store a sequence number twice: it answers a repeat with success, or with the next
// sequence number. onRefused is called for
// each try that the store refused, and reports whether to give up.
func (s *sender) appendUntilResolved(ctx context.Context, p platform.Producer, records []platform.Record, onRefused func(try int) (giveUp bool)) error {
	records, confirmed := s.begin(p, records)
	defer s.end()
	outcomeUnknown := false
	timeout := minAppendTimeout
	for try := 1; ; try++ {
		err := s.try(ctx, timeout, p, records, confirmed)
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
			s.Log.Warn("An append failed and is tried again.", "producer", p.Name, "seq", p.Seq, "try", try, "records", len(records), "verdict", verdict.Of(err).String(), "error", truncatedText(err))
		}
		select {
		case <-confirmed:
			return nil
		case <-ctx.Done():
			if outcomeUnknown {
				return verdict.Wrap(eris.Wrap(err, "append with unknown outcome"), verdict.MayHaveRun, "unsettled")
			}
			return verdict.Wrap(err, verdict.DidNotRun, "store-unavailable")
		case <-time.After(appendRetryInterval):
		}
	}
}

// try sends an append once. It returns nil if the store answers so, or once the
// append is confirmed.
func (s *sender) try(ctx context.Context, timeout time.Duration, p platform.Producer, records []platform.Record, confirmed <-chan struct{}) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := s.Clock.Now()
	end := s.Meter.Begin(sent)
	answer := make(chan error, 1)
	go func() {
		_, err := s.Store.Append(callCtx, s.Topic, p, records)
		answer <- err
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var err error
	for waiting := true; waiting; {
		select {
		case err = <-answer:
			waiting = false
		case <-confirmed:
			confirmed, waiting = nil, false
			select {
			case <-answer:
			case <-time.After(confirmedAnswerTimeout):
			}
		case <-timer.C:
			// The store may have become slow since the append was sent.
			left := sent + min(answerTimeFactor*s.Meter.Smoothed(), maxAppendTimeout) - s.Clock.Now()
			if left > 0 {
				timer.Reset(left)
				continue
			}
			cancel()
			err = <-answer
			waiting = false
		}
	}
	end(s.Clock.Now(), err == nil)
	return err
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
