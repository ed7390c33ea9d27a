package worklog

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/latency"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Options configure a TopicReader.
type Options struct {
	Topic string
	// Wait is how long the store may hold a read open when there is no record.
	Wait time.Duration
	// TimeoutMargin is added to Wait to give the timeout of a read.
	TimeoutMargin time.Duration
	// RetryAtOnce lets the store answer the read after a failed one without waiting for a
	// record, within the same time-out.
	RetryAtOnce bool
	// BatchInterval returns the wait after a read that returned records, so that
	// records arrive in batches.
	BatchInterval func() time.Duration
	// Meter measures the answers of the store.
	Meter *latency.Meter
	// OnFault is called after a panic while a page was applied; nil for nothing.
	OnFault func()
}

const (
	// defaultTimeoutMargin is the TimeoutMargin of topics whose readers can wait for
	// a slow store.
	defaultTimeoutMargin = 900 * time.Millisecond
	// backlogReadTimeout allows for a full page over a slow link.
	backlogReadTimeout = 2500 * time.Millisecond
	// newestReadTimeout bounds one request for the newest records.
	newestReadTimeout = 4 * time.Second
	// readRetryInterval is the wait after a failed read.
	readRetryInterval = 50 * time.Millisecond
)

// TopicReader reads a keyed topic in order.
type TopicReader struct {
	store   Store
	clock   cell.Clock
	log     *slog.Logger
	options Options
	apply   func(Page)
	ends    endReads

	// behind is set while the topic has records that have not been read. Only Run
	// uses it.
	behind bool

	mu          sync.Mutex
	next        uint64
	asOf        time.Duration
	initialized bool
	pageApplied chan struct{}
	// failingSince is when reads began to fail; zero while they succeed.
	failingSince time.Duration
}

// NewTopicReader returns a reader that passes pages to apply, from one goroutine.
func NewTopicReader(s Store, clock cell.Clock, log *slog.Logger, o Options, apply func(Page)) *TopicReader {
	if o.BatchInterval == nil {
		o.BatchInterval = func() time.Duration { return 0 }
	}
	if o.TimeoutMargin == 0 {
		o.TimeoutMargin = defaultTimeoutMargin
	}
	r := &TopicReader{store: s, clock: clock, log: log, options: o, apply: apply, pageApplied: make(chan struct{})}
	r.ends.read = r.readEnd
	return r
}

// Run reads until ctx ends.
func (r *TopicReader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.readNext(ctx); err != nil && ctx.Err() == nil {
			r.recordFailure(err)
			ctxtime.Sleep(ctx, readRetryInterval)
		}
	}
}

func (r *TopicReader) recordFailure(err error) {
	r.mu.Lock()
	first := r.failingSince == 0
	if first {
		r.failingSince = r.clock.Now()
	}
	r.mu.Unlock()
	if first {
		r.log.Warn("Reads from the store fail.", "topic", r.options.Topic, "error", truncatedText(err))
	}
}

func (r *TopicReader) readNext(ctx context.Context) error {
	r.mu.Lock()
	initialized, next := r.initialized, r.next
	r.mu.Unlock()
	if !initialized {
		return r.readNewest(ctx)
	}
	sent := r.clock.Now()
	wait, margin := r.options.Wait, r.options.TimeoutMargin
	switch {
	case r.behind:
		wait, margin = 0, backlogReadTimeout
	case r.options.RetryAtOnce && r.Failing():
		wait, margin = 0, wait+margin
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	page, err := r.store.Read(callCtx, r.options.Topic, next, wait)
	cancel()
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		r.log.Warn("Records were deleted before they were read; reading the newest record of each key.", "topic", r.options.Topic, "next", next, "first", trimmed.First)
		return r.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	if took := r.clock.Now() - sent - wait; took >= 0 && len(page.Records) == 0 || wait == 0 {
		r.options.Meter.Observe(took) // otherwise it is unknown how long the store waited for a record
	}
	if page.End < next {
		r.log.Error("The topic ends before the next offset; reading the newest record of each key.", "topic", r.options.Topic, "next", next, "end", page.End)
		return r.readNewest(ctx)
	}
	if r.behind && len(page.Records) == 0 && next < page.End {
		return eris.Errorf("no record at offset %d, though the topic ends at %d", next, page.End)
	}
	next += uint64(len(page.Records))
	r.behind = next < page.End
	r.deliver(Page{Records: page.Records, AsOf: sent, Complete: next >= page.End}, next)
	if len(page.Records) > 0 && !r.behind {
		ctxtime.Sleep(ctx, r.options.BatchInterval())
	}
	return nil
}

// readNewest reads the newest record of each key. Later reads continue from the end
// of the topic that the first answer gave. Records stored meanwhile may thus be read
// twice.
func (r *TopicReader) readNewest(ctx context.Context) error {
	sent := r.clock.Now()
	var all []platform.Record
	var next uint64
	after := ""
	for n := 0; ; n++ {
		callCtx, cancel := context.WithTimeout(ctx, newestReadTimeout)
		page, more, err := r.store.Newest(callCtx, r.options.Topic, after)
		cancel()
		if err != nil {
			return err
		}
		if n == 0 {
			next = page.End
		}
		all = append(all, page.Records...)
		if !more || len(page.Records) == 0 {
			break
		}
		last := page.Records[len(page.Records)-1].Key
		if last == "" || last == after {
			return eris.Errorf("the newest records after key %.60q end with key %.60q, and more are to follow", after, last)
		}
		after = last
	}
	r.behind = true // records stored since the first answer have to be read
	r.deliver(Page{Records: all, NewestOnly: true, AsOf: sent, Complete: true}, next)
	return nil
}

// applyPage applies a page. A page at which that fails is not read again, since it would
// fail again.
func (r *TopicReader) applyPage(p Page) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		r.log.Error("A page cannot be applied and is left out.", "topic", r.options.Topic, "records", len(p.Records), "panic", v, "stack", string(debug.Stack()))
		if r.options.OnFault != nil {
			r.options.OnFault()
		}
	}()
	r.apply(p)
}

func (r *TopicReader) deliver(p Page, next uint64) {
	p.End = next
	r.applyPage(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.initialized = next, true
	if p.Complete {
		r.asOf = p.AsOf
	}
	if r.failingSince != 0 {
		r.failingSince = 0
		r.log.Info("Reads from the store succeed again.", "topic", r.options.Topic, "next", next)
	}
	close(r.pageApplied)
	r.pageApplied = make(chan struct{})
}

// AsOf returns a time on the reader's clock such that every record stored before
// it has been applied; ok is false before the first read.
func (r *TopicReader) AsOf() (t time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf, r.initialized
}

// WaitFirstRead blocks until the topic has been read for the first time. It returns
// false if ctx ends first.
func (r *TopicReader) WaitFirstRead(ctx context.Context) bool {
	for {
		r.mu.Lock()
		initialized, pageApplied := r.initialized, r.pageApplied
		r.mu.Unlock()
		if initialized {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-pageApplied:
		}
	}
}

// Failing reports whether the last read failed.
func (r *TopicReader) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failingSince != 0
}

// readEnd reads the end of the topic. If the next offset has expired, it reads on from the first
// one that is left: that is not the end.
func (r *TopicReader) readEnd(ctx context.Context) (uint64, error) {
	r.mu.Lock()
	from := r.next
	r.mu.Unlock()
	for {
		sent := r.clock.Now()
		page, err := r.store.Read(ctx, r.options.Topic, from, 0)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed) && trimmed.First > from:
			from = trimmed.First
		case err != nil:
			return 0, err
		default:
			r.options.Meter.Observe(r.clock.Now() - sent)
			return page.End, nil
		}
	}
}

// CatchUp blocks until every record stored before the call has been applied. It
// returns an error if the end of the topic cannot be read or ctx ends.
func (r *TopicReader) CatchUp(ctx context.Context) error {
	end, err := r.ends.wait(ctx)
	if err != nil {
		return err
	}
	for {
		r.mu.Lock()
		done, pageApplied := r.initialized && r.next >= end, r.pageApplied
		r.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pageApplied:
		}
	}
}
