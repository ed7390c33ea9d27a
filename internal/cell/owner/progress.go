package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// beatEvery is the time between the owner's records in the log, from which
	// the other nodes see that it is alive.
	beatEvery = 400 * time.Millisecond
	// persistGather is the time in which changes are collected for one append.
	persistGather = 3 * time.Millisecond
	// maxRecords bounds the records of one append.
	maxRecords = 400
	// forgetEvery is the time between two searches for expired submissions.
	forgetEvery = 5 * time.Second
)

// progress counts rounds of storing, so that others can wait for a round that
// began after something happened.
type progress struct {
	mu       sync.Mutex
	started  int64
	finished int64
	advanced chan struct{}
	wake     chan struct{}
}

func (p *progress) init() {
	p.advanced = make(chan struct{})
	p.wake = make(chan struct{}, 1)
}

func (p *progress) request() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *progress) begin() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	return p.started
}

func (p *progress) finish(round int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = round
	close(p.advanced)
	p.advanced = make(chan struct{})
}

// wait returns once everything that changed before the call is stored.
func (p *progress) wait(ctx context.Context) bool {
	p.mu.Lock()
	round := p.started + 1
	p.mu.Unlock()
	for {
		p.request()
		p.mu.Lock()
		done, advanced := p.finished >= round, p.advanced
		p.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-advanced:
		}
	}
}

// persist stores changed progress and heartbeats until ctx ends.
func (w *Owner) persist(ctx context.Context) {
	self := w.o.Self
	last, forgotten := w.o.Clock.Now(), w.o.Clock.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.progress.wake:
			time.Sleep(persistGather)
		case <-time.After(beatEvery / 4):
		}
		round := w.progress.begin()
		records, changed := w.hostChanges()
		progress, finals := w.changes()
		records = append(records, progress...)
		now := w.o.Clock.Now()
		if now-forgotten > forgetEvery {
			forgotten = now
			records = append(records, w.expired(now)...)
		}
		settled := w.Settled()
		if len(records) == 0 && now-last > beatEvery || settled != self.Settled {
			self.Settled = settled
			self.Beat++
			records = append(records, registry.OwnerRecord(self))
		}
		if len(records) > 0 {
			if err := w.store(ctx, records); err != nil {
				return
			}
			last = now
			w.hostsStored(changed)
			w.dropFinals(finals)
		}
		w.progress.finish(round)
	}
}

// store writes records in order. An error ends the term.
func (w *Owner) store(ctx context.Context, records []platform.Record) error {
	for len(records) > 0 {
		n := min(len(records), maxRecords)
		sent := w.o.Clock.Now()
		err := w.o.Journal.Store(ctx, records[:n])
		if err != nil {
			if errors.Is(err, platform.ErrFenced) {
				w.depose("the log knows a higher token")
			} else if ctx.Err() == nil {
				w.depose("an append failed: " + err.Error())
			}
			return err
		}
		w.authority.confirm(sent)
		records = records[n:]
	}
	return nil
}

// changes returns the records of changed submissions, and those that are over.
func (w *Owner) changes() (records []platform.Record, finals []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.scheduler.Changed() {
		p, ok := w.scheduler.Progress(id)
		if !ok {
			continue
		}
		records = append(records, registry.ProgressRecord(id, p))
		if p.State.Final() {
			// The short form keeps what a starting node reads small.
			records = append(records, registry.SubmissionRecord(w.scheduler.Submission(id).Short()))
			finals = append(finals, id)
		}
	}
	return records, finals
}

// dropFinals forgets submissions whose end is stored and whose runs are gone.
func (w *Owner) dropFinals(ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Clock.Now()
	for _, id := range ids {
		w.finals[id] = true
		w.ends[id] = now
	}
	for id := range w.finals {
		if w.scheduler.Drop(id) {
			delete(w.finals, id)
		}
	}
}

// expired returns the records that forget submissions that ended long ago.
func (w *Owner) expired(now time.Duration) (records []platform.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.ends {
		if now-at > w.o.KeepFor && len(records) < maxRecords {
			records = append(records, registry.ForgetRecords(id)...)
			delete(w.ends, id)
		}
	}
	return records
}
