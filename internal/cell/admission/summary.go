package admission

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// MaxSummaryBytes bounds an encoded summary.
	MaxSummaryBytes = 32 << 10
	// maxWait bounds the waits that a node believes.
	maxWait = time.Hour
	object  = "load summary"
)

// Summary is what the owner publishes about the work that waits.
type Summary struct {
	// Token is the fencing token of the owner.
	Token int64 `json:"token"`
	// Applied is the end of the log up to which the owner had applied it when it computed the
	// summary. Zero means that it is not known, as in summaries of earlier versions.
	Applied uint64 `json:"applied,omitempty"`
	// Backlogs holds the teams and queues with a wait, the longest waits first.
	Backlogs []Backlog `json:"backlogs,omitempty"`
}

// Encode returns the summary in the form of Decode. The shortest waits are left out if it would
// exceed MaxSummaryBytes.
func (s Summary) Encode() []byte {
	s.Backlogs = slices.Clone(s.Backlogs)
	slices.SortFunc(s.Backlogs, func(a, b Backlog) int {
		x, _ := a.wait()
		y, _ := b.wait()
		if c := cmp.Compare(y, x); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue))
	})
	for {
		data, err := json.Marshal(s)
		if err == nil && len(data) <= MaxSummaryBytes || len(s.Backlogs) == 0 {
			return data
		}
		s.Backlogs = s.Backlogs[:len(s.Backlogs)/2]
	}
}

// Decode decodes a summary. An error means that nothing may be refused on it.
func Decode(data []byte) (s Summary, err error) {
	if len(data) > MaxSummaryBytes {
		return s, cell.NewFieldError(object, "size", len(data), fmt.Sprintf("at most %d bytes", MaxSummaryBytes))
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Summary{}, err
	}
	if d.More() {
		return Summary{}, cell.NewFieldError(object, "value", "more than one value", "one JSON object")
	}
	if s.Token < 1 {
		return Summary{}, cell.NewFieldError(object, "token", s.Token, "at least 1")
	}
	for _, b := range s.Backlogs {
		if b.OwnMs < 0 || b.CellMs < 0 || max(b.OwnMs, b.CellMs) > maxWait.Milliseconds() {
			return Summary{}, cell.NewFieldError(object, "wait", max(b.OwnMs, b.CellMs), "0 to 3600000 ms")
		}
	}
	return s, nil
}

// find returns the backlog of a team and queue, nil if it has none.
func (s *Summary) find(team, queue string) *Backlog {
	for i := range s.Backlogs {
		if b := &s.Backlogs[i]; b.Team == team && b.Queue == queue {
			return b
		}
	}
	return nil
}
