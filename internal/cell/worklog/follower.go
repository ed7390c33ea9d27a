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

// Options set how a follower reads.
type Options struct {
	Topic string
	// Wait is how long the store may hold a read back when there is no record.
	Wait time.Duration
	// Slack is added to Wait before the connection of a read counts as silent.
	Slack time.Duration
	// Pace is the least time between two reads, so that records come in groups.
	Pace func() time.Duration
}

const (
	// defaultSlack is for topics whose readers can wait for a slow store.
	defaultSlack = 900 * time.Millisecond
	// behindSlack is the time for a full page over a slow link.
	behindSlack = 2500 * time.Millisecond
	// rebuildSlack is the time for one answer with the newest records.
	rebuildSlack = 4 * time.Second
	// readPause is the wait after a failed read.
	readPause = 50 * time.Millisecond
)

// Page is a part of a topic in order.
type Page struct {
	Records []platform.Record
	// Rebuilt is set if the records are the newest of each key, since the history between was gone.
	Rebuilt bool
	// AsOf is when the read was sent: everything that was stored before has been read.
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

	// behind is set while records are known that have not been read. Only Run
	// uses it.
	behind bool

	mu       sync.Mutex
	next     uint64
	asOf     time.Duration
	read     bool
	advanced chan struct{}
	// failingSince is when reads began to fail; zero while they succeed.
	failingSince time.Duration
}

// NewFollower returns a follower that hands pages to apply, from one goroutine.
func NewFollower(s Store, clock cell.Clock, log *slog.Logger, o Options, apply func(Page)) *Follower {
	if o.Pace == nil {
		o.Pace = func() time.Duration { return 0 }
	}
	if o.Slack == 0 {
		o.Slack = defaultSlack
	}
	return &Follower{store: s, clock: clock, log: log, o: o, apply: apply, advanced: make(chan struct{})}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.report(err)
			ctxtime.Sleep(ctx, readPause)
		}
	}
}

func (f *Follower) report(err error) {
	f.mu.Lock()
	first := f.failingSince == 0
	if first {
		f.failingSince = f.clock.Now()
	}
	f.mu.Unlock()
	if first {
		f.log.Warn("The store is not readable.", "topic", f.o.Topic, "error", short(err))
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	read, next := f.read, f.next
	f.mu.Unlock()
	if !read {
		return f.rebuild(ctx)
	}
	sent := f.clock.Now()
	wait, slack := f.o.Wait, f.o.Slack
	if f.behind {
		wait, slack = 0, behindSlack
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	page, err := f.store.Read(callCtx, f.o.Topic, next, wait)
	cancel()
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.log.Warn("The history is gone; the newest records are read.", "topic", f.o.Topic, "next", next, "first", trimmed.First)
		return f.rebuild(ctx)
	}
	if err != nil {
		return err
	}
	if page.End < next {
		f.log.Error("The topic is shorter than before; the newest records are read.", "topic", f.o.Topic, "next", next, "end", page.End)
		return f.rebuild(ctx)
	}
	next += uint64(len(page.Records))
	f.behind = next < page.End
	f.deliver(Page{Records: page.Records, AsOf: sent, Complete: next >= page.End}, next)
	if len(page.Records) > 0 && !f.behind {
		ctxtime.Sleep(ctx, f.o.Pace())
	}
	return nil
}

// rebuild reads the newest record of each key and goes on from the end that
// the first answer names: what is stored meanwhile is read again.
func (f *Follower) rebuild(ctx context.Context) error {
	sent := f.clock.Now()
	var all []platform.Record
	var next uint64
	after := ""
	for n := 0; ; n++ {
		callCtx, cancel := context.WithTimeout(ctx, rebuildSlack)
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
	f.behind = true // the records since the first answer follow
	f.deliver(Page{Records: all, Rebuilt: true, AsOf: sent, Complete: true}, next)
	return nil
}

func (f *Follower) deliver(p Page, next uint64) {
	f.apply(p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.read = next, true
	if p.Complete {
		f.asOf = p.AsOf
	}
	if f.failingSince != 0 {
		f.failingSince = 0
		f.log.Info("The store is readable again.", "topic", f.o.Topic, "next", next)
	}
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// AsOf returns a time such that everything stored before it has been applied;
// ok is false before the first read.
func (f *Follower) AsOf() (t time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf, f.read
}

// Ready returns once the topic has been read for the first time. It reports
// whether ctx is still live.
func (f *Follower) Ready(ctx context.Context) bool {
	for {
		f.mu.Lock()
		read, advanced := f.read, f.advanced
		f.mu.Unlock()
		if read {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-advanced:
		}
	}
}

// Failing reports whether the last read failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failingSince != 0
}

// CatchUp returns once everything that was stored before the call has been applied.
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
		done, advanced := f.read && f.next >= page.End, f.advanced
		f.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-advanced:
		}
	}
}
