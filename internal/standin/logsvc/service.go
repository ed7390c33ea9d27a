package logsvc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/medlarpulley/medlarpulley/internal/platform/logsvc"
)

const (
	// DefaultAppendsPerSecond is the append rate limit of the platform's log
	// service.
	DefaultAppendsPerSecond = 400
	// DefaultLongPollTimeout is how long a read is held while there are no
	// records, if the reader does not set wait_ms.
	DefaultLongPollTimeout = time.Second
	// firstOffset is the offset of the first record.
	firstOffset = 1
)

// errResponseLost is the error of an append under the fault LoseResponses.
var errResponseLost = eris.New("answer lost")

// errUnavailable is the error of an append or a read under the fault
// Unavailable.
var errUnavailable = eris.New("log service is away")

// Service simulates the log service. It implements logsvc.Log and is safe for
// concurrent use.
type Service struct {
	mu      sync.Mutex
	records []logsvc.Record
	// oldest is the offset of the oldest record that readers can get; records
	// may start earlier if keepAll is true.
	oldest  uint64
	keepAll bool
	faults  Faults
	limiter *rate.Limiter
	// changed is closed and replaced when a record is appended or the faults
	// are set.
	changed chan struct{}
	refused int
}

// New returns an empty log. If keepAll is true, Appended also returns the records
// that retention has deleted for readers.
func New(keepAll bool) *Service {
	return &Service{
		oldest: firstOffset, keepAll: keepAll, changed: make(chan struct{}),
		limiter: rate.NewLimiter(DefaultAppendsPerSecond, DefaultAppendsPerSecond/10),
	}
}

// SetFaults replaces the simulated faults and wakes the calls that are held.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	perSecond := DefaultAppendsPerSecond
	if f.AppendsPerSecond > 0 {
		perSecond = f.AppendsPerSecond
	}
	s.limiter.SetLimit(rate.Limit(perSecond))
	s.limiter.SetBurst(max(1, perSecond/10))
	s.trim()
	s.wakeWaiting()
}

// Faults returns the faults that are currently simulated.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appended returns all records that were ever appended if keepAll is true, and
// the retained ones otherwise. The caller must not modify the payloads, because
// they are shared with the log.
func (s *Service) Appended() []logsvc.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Refused returns the number of appends that the rate limit refused.
func (s *Service) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Append implements logsvc.Log and applies the simulated faults.
func (s *Service) Append(ctx context.Context, payload []byte) (uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, eris.Wrap(logsvc.ErrNotAppended, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Unavailable {
		return 0, eris.Wrap(logsvc.ErrNotAppended, errUnavailable.Error())
	}
	if len(payload) > logsvc.MaxRecordBytes {
		return 0, eris.Wrap(logsvc.ErrNotAppended, "record is too large")
	}
	if !s.limiter.Allow() {
		s.refused++
		return 0, eris.Wrap(logsvc.ErrNotAppended, errRateLimited.Error())
	}
	offset := s.nextOffset()
	s.records = append(s.records, logsvc.Record{Offset: offset, Payload: slices.Clone(payload)})
	s.trim()
	s.wakeWaiting()
	if s.faults.LoseResponses != 0 {
		if s.faults.LoseResponses > 0 {
			s.faults.LoseResponses--
		}
		return 0, errResponseLost
	}
	return offset, nil
}

// errRateLimited is the reason of a refusal by the rate limit.
var errRateLimited = eris.New("too many appends")

// Read implements logsvc.Log and applies the simulated faults.
func (s *Service) Read(ctx context.Context, from uint64, maxRecords int) (logsvc.Page, error) {
	return s.readWithTimeout(ctx, from, maxRecords, DefaultLongPollTimeout)
}

// readWithTimeout is Read with a long-poll timeout.
func (s *Service) readWithTimeout(ctx context.Context, from uint64, maxRecords int, timeout time.Duration) (logsvc.Page, error) {
	if err := s.applyFaults(ctx); err != nil {
		return logsvc.Page{}, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for timedOut := false; ; {
		page, changed, err := s.page(from, maxRecords)
		if err != nil || len(page.Records) > 0 || timedOut {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
	}
}

// page returns the available records, and a channel that is closed when a record
// is appended or the faults are set.
func (s *Service) page(from uint64, maxRecords int) (logsvc.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := logsvc.Page{Oldest: s.oldest, End: s.nextOffset()}
	if s.faults.Unavailable {
		return page, s.changed, errUnavailable
	}
	if from < s.oldest {
		return page, s.changed, eris.Wrapf(logsvc.ErrTrimmed, "offset %d, oldest is %d", from, s.oldest)
	}
	size := 0
	for offset := from; offset < page.End && len(page.Records) < maxRecords && size < logsvc.MaxPageBytes; offset++ {
		record := s.records[offset-s.firstKept()]
		page.Records = append(page.Records, record)
		size += len(record.Payload)
	}
	return page, s.changed, nil
}

// applyFaults applies the faults Delay and Unresponsive. It returns an error if
// ctx ends before the call may proceed.
func (s *Service) applyFaults(ctx context.Context) error {
	for {
		s.mu.Lock()
		silent, delay, changed := s.faults.Unresponsive, s.faults.Delay, s.changed
		s.mu.Unlock()
		if silent {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return eris.Wrap(ctx.Err(), "log service is silent")
			}
		}
		if delay <= 0 {
			return nil
		}
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "log service is slow")
		}
	}
}

// firstKept returns the offset of records[0], or oldest if there are no records.
func (s *Service) firstKept() uint64 {
	if len(s.records) == 0 {
		return s.oldest
	}
	return s.records[0].Offset
}

// nextOffset returns the offset that the next record will get.
func (s *Service) nextOffset() uint64 { return s.firstKept() + uint64(len(s.records)) }

// trim applies the retention.
func (s *Service) trim() {
	keep := uint64(s.faults.Retention)
	if keep == 0 || s.nextOffset()-s.oldest <= keep {
		return
	}
	s.oldest = s.nextOffset() - keep
	if !s.keepAll {
		s.records = slices.Clone(s.records[s.oldest-s.firstKept():])
	}
}

// wakeWaiting wakes the calls that wait for a change.
func (s *Service) wakeWaiting() {
	close(s.changed)
	s.changed = make(chan struct{})
}
