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
	// DefaultAppendsPerSecond is the append rate of the platform's service.
	DefaultAppendsPerSecond = 400
	// PollWait is how long a read without records is held.
	PollWait = time.Second
	// firstOffset is the offset of the first record.
	firstOffset = 1
)

// errLost is the error of an append whose answer is lost.
var errLost = eris.New("answer lost")

// errAway is the error of a read while the service is away.
var errAway = eris.New("log service is away")

// Service is the log. It implements logsvc.Log and is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	records []logsvc.Record
	// oldest is the offset of the oldest record that readers can get.
	oldest  uint64
	keepAll bool
	faults  Faults
	limiter *rate.Limiter
	// changed is closed and replaced when a record or a fault is added.
	changed chan struct{}
	refused int
}

// New returns an empty log. With keepAll, records beyond the retention stay
// available to Appended.
func New(keepAll bool) *Service {
	return &Service{
		oldest: firstOffset, keepAll: keepAll, changed: make(chan struct{}),
		limiter: rate.NewLimiter(DefaultAppendsPerSecond, DefaultAppendsPerSecond/10),
	}
}

// SetFaults replaces the faults and wakes the calls that are held.
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
	s.wake()
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appended returns all records that were ever appended, or only the retained
// ones without keepAll. The payloads are shared.
func (s *Service) Appended() []logsvc.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Refused returns the number of appends refused for their rate.
func (s *Service) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Append implements logsvc.Log.
func (s *Service) Append(ctx context.Context, payload []byte) (uint64, error) {
	if err := s.pass(ctx); err != nil {
		return 0, eris.Wrap(logsvc.ErrNotAppended, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Away {
		return 0, eris.Wrap(logsvc.ErrNotAppended, errAway.Error())
	}
	if len(payload) > logsvc.MaxRecordBytes {
		return 0, eris.Wrap(logsvc.ErrNotAppended, "record is too large")
	}
	if !s.limiter.Allow() {
		s.refused++
		return 0, eris.Wrap(logsvc.ErrNotAppended, errRate.Error())
	}
	offset := s.end()
	s.records = append(s.records, logsvc.Record{Offset: offset, Payload: slices.Clone(payload)})
	s.trim()
	s.wake()
	if s.faults.LoseAnswers != 0 {
		if s.faults.LoseAnswers > 0 {
			s.faults.LoseAnswers--
		}
		return 0, errLost
	}
	return offset, nil
}

// errRate is the reason for refusing an append above the rate.
var errRate = eris.New("too many appends")

// Read implements logsvc.Log.
func (s *Service) Read(ctx context.Context, from uint64, maxRecords int) (logsvc.Page, error) {
	return s.readFor(ctx, from, maxRecords, PollWait)
}

func (s *Service) readFor(ctx context.Context, from uint64, maxRecords int, wait time.Duration) (logsvc.Page, error) {
	if err := s.pass(ctx); err != nil {
		return logsvc.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		page, changed, err := s.page(from, maxRecords)
		if err != nil || len(page.Records) > 0 || waited {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			waited = true
		}
	}
}

// page returns the records that are there, and a channel that is closed when
// that changes.
func (s *Service) page(from uint64, maxRecords int) (logsvc.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := logsvc.Page{Oldest: s.oldest, End: s.end()}
	if s.faults.Away {
		return page, s.changed, errAway
	}
	if from < s.oldest {
		return page, s.changed, eris.Wrapf(logsvc.ErrTrimmed, "offset %d, oldest is %d", from, s.oldest)
	}
	size := 0
	for offset := from; offset < page.End && len(page.Records) < maxRecords && size < logsvc.MaxPageBytes; offset++ {
		record := s.records[offset-s.base()]
		page.Records = append(page.Records, record)
		size += len(record.Payload)
	}
	return page, s.changed, nil
}

// pass applies the faults Delay and Silent. It returns an error if the caller
// gave up before.
func (s *Service) pass(ctx context.Context) error {
	for {
		s.mu.Lock()
		silent, delay, changed := s.faults.Silent, s.faults.Delay, s.changed
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

// base returns the offset of records[0].
func (s *Service) base() uint64 {
	if len(s.records) == 0 {
		return s.oldest
	}
	return s.records[0].Offset
}

// end returns the offset of the next record.
func (s *Service) end() uint64 { return s.base() + uint64(len(s.records)) }

func (s *Service) trim() {
	keep := uint64(s.faults.Retention)
	if keep == 0 || s.end()-s.oldest <= keep {
		return
	}
	s.oldest = s.end() - keep
	if !s.keepAll {
		s.records = slices.Clone(s.records[s.oldest-s.base():])
	}
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
