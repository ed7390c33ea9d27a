package worklog

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Options configure how a follower reads.
type Options struct {
	Topic string
	// Wait is how long the store may hold a read open when there is no record.
	Wait time.Duration
	// TimeoutMargin is added to Wait to give the timeout of a read.
	TimeoutMargin time.Duration
	// BatchInterval returns the wait after a read that returned records, so that
	// records arrive in batches.
	BatchInterval func() time.Duration
}

const (
	// defaultTimeoutMargin is the TimeoutMargin of topics whose readers can wait for
	// a slow store.
	defaultTimeoutMargin = 900 * time.Millisecond
	// backlogReadTimeout allows for a full page over a slow link.
	backlogReadTimeout = 2500 * time.Millisecond
	// rebuildTimeout bounds one request for the newest records.
	rebuildTimeout = 4 * time.Second
	// readRetryInterval is the wait after a failed read.
	readRetryInterval = 50 * time.Millisecond
)

// Page is a sequence of records of a topic, in order.
type Page struct {
	Records []platform.Record
	// Rebuilt is set if the records are the newest record of each key and not all
	// records: at the first read, and when records since the last read are gone.
	Rebuilt bool
	// AsOf is when the read was sent. Every record stored before that has been read
	// if the page is complete.
	AsOf time.Duration
	// Complete is set if the page reaches the end of the topic.
	Complete bool
}

// Follower reads a keyed topic in order.
type Follower struct {
	store Store
	clock cell.Clock
	log   *slog.Logger
	o     Options
	apply func(Page)

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

// NewFollower returns a follower that passes pages to apply, from one goroutine.
func NewFollower(s Store, clock cell.Clock, log *slog.Logger, o Options, apply func(Page)) *Follower {
	if o.BatchInterval == nil {
		o.BatchInterval = func() time.Duration { return 0 }
	}
	if o.TimeoutMargin == 0 {
		o.TimeoutMargin = defaultTimeoutMargin
	}
	return &Follower{store: s, clock: clock, log: log, o: o, apply: apply, pageApplied: make(chan struct{})}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.readNext(ctx); err != nil && ctx.Err() == nil {
			f.recordFailure(err)
			ctxtime.Sleep(ctx, readRetryInterval)
		}
	}
}

func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	first := f.failingSince == 0
	if first {
		f.failingSince = f.clock.Now()
	}
	f.mu.Unlock()
	if first {
		f.log.Warn("Reads from the store fail.", "topic", f.o.Topic, "error", truncatedText(err))
	}
}

func (f *Follower) readNext(ctx context.Context) error {
	f.mu.Lock()
	initialized, next := f.initialized, f.next
	f.mu.Unlock()
	if !initialized {
		return f.rebuild(ctx)
	}
	sent := f.clock.Now()
	wait, margin := f.o.Wait, f.o.TimeoutMargin
	if f.behind {
		wait, margin = 0, backlogReadTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+margin)
	page, err := f.store.Read(callCtx, f.o.Topic, next, wait)
	cancel()
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.log.Warn("Records were deleted before they were read; reading the newest record of each key.", "topic", f.o.Topic, "next", next, "first", trimmed.First)
		return f.rebuild(ctx)
	}
	if err != nil {
		return err
	}
	if page.End < next {
		f.log.Error("The topic ends before the next offset; reading the newest record of each key.", "topic", f.o.Topic, "next", next, "end", page.End)
		return f.rebuild(ctx)
	}
	next += uint64(len(page.Records))
	f.behind = next < page.End
	f.deliver(Page{Records: page.Records, AsOf: sent, Complete: next >= page.End}, next)
	if len(page.Records) > 0 && !f.behind {
		ctxtime.Sleep(ctx, f.o.BatchInterval())
	}
	return nil
}

// rebuild reads the newest record of each key and then continues from the end of
// the topic that the first answer gave. Records stored during the rebuild may thus
// be read twice.
func (f *Follower) rebuild(ctx context.Context) error {
	sent := f.clock.Now()
	var all []platform.Record
	var next uint64
	after := ""
	for n := 0; ; n++ {
		callCtx, cancel := context.WithTimeout(ctx, rebuildTimeout)
		page, more, err := f.store.Newest(callCtx, f.o.Topic, after)
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
		after = page.Records[len(page.Records)-1].Key
	}
	f.behind = true // records stored since the first answer have to be read
	f.deliver(Page{Records: all, Rebuilt: true, AsOf: sent, Complete: true}, next)
	return nil
}

func (f *Follower) deliver(p Page, next uint64) {
	f.apply(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.initialized = next, true
	if p.Complete {
		f.asOf = p.AsOf
	}
	if f.failingSince != 0 {
		f.failingSince = 0
		f.log.Info("Reads from the store succeed again.", "topic", f.o.Topic, "next", next)
	}
	close(f.pageApplied)
	f.pageApplied = make(chan struct{})
}

// AsOf returns a time on the follower's clock such that every record stored before
// it has been applied; ok is false before the first read.
func (f *Follower) AsOf() (t time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf, f.initialized
}

// Ready blocks until the topic has been read for the first time. It returns false
// if ctx ends first.
func (f *Follower) Ready(ctx context.Context) bool {
	for {
		f.mu.Lock()
		initialized, pageApplied := f.initialized, f.pageApplied
		f.mu.Unlock()
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
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failingSince != 0
}

// CatchUp blocks until every record stored before the call has been applied. It
// returns an error if the end of the topic cannot be read or ctx ends.
func (f *Follower) CatchUp(ctx context.Context) error {
	f.mu.Lock()
	next := f.next
	f.mu.Unlock()
	page, err := f.store.Read(ctx, f.o.Topic, next, 0)
	if err != nil {
		var trimmed *platform.TrimmedError
		if !errors.As(err, &trimmed) {
			return err
		}
		page.End = trimmed.First
	}
	for {
		f.mu.Lock()
		done, pageApplied := f.initialized && f.next >= page.End, f.pageApplied
		f.mu.Unlock()
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
