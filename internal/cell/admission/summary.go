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
	// Applied is the offset up to which the owner had applied the log before the decision that
	// the summary describes. Zero means that it is not known.
	Applied uint64 `json:"applied,omitempty"`
	// Backlogs holds the work that new work waits for, the longest waits first.
	Backlogs []Backlog `json:"backlogs,omitempty"`
	// Teams and Services hold the room of those that are named in Backlogs.
	Teams    []Room `json:"teams,omitempty"`
	Services []Room `json:"services,omitempty"`
}

// Encode returns the summary in the form of Decode. The shortest waits are left out if it would
// exceed MaxSummaryBytes.
func (s Summary) Encode() []byte {
	s.Backlogs = slices.Clone(s.Backlogs)
	slices.SortFunc(s.Backlogs, func(a, b Backlog) int {
		return cmp.Or(cmp.Compare(b.Longest(), a.Longest()), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Label, b.Label))
	})
	for {
		teams := s.Teams
		s.Teams = s.roomOfTeams()
		data, err := json.Marshal(s)
		if err == nil && len(data) <= MaxSummaryBytes {
			return data
		}
		if len(s.Backlogs) == 0 { // the names of services fill it; nothing can be refused
			s.Teams, s.Services = nil, nil
			continue
		}
		s.Teams, s.Backlogs = teams, s.Backlogs[:len(s.Backlogs)/2]
	}
}

// roomOfTeams returns the room of the teams that are named in Backlogs.
func (s *Summary) roomOfTeams() (out []Room) {
	named := make(map[string]bool, len(s.Backlogs))
	for i := range s.Backlogs {
		named[s.Backlogs[i].Team] = true
	}
	for _, t := range s.Teams {
		if named[t.Name] {
			out = append(out, t)
		}
	}
	return out
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
	for i := range s.Backlogs {
		if b := &s.Backlogs[i]; !b.valid() {
			return Summary{}, cell.NewFieldError(object, "backlog", fmt.Sprintf("%+v", *b), fmt.Sprintf("1 to %d rising laxities, and for each of them a wait of 0 to %d ms, not falling", MaxLaxityBounds, maxWait.Milliseconds()))
		}
	}
	for _, list := range [][]Room{s.Teams, s.Services} {
		for i := range list {
			if !list[i].valid() {
				return Summary{}, cell.NewFieldError(object, "room", fmt.Sprintf("%+v", list[i]), fmt.Sprintf("amounts of 0 to %g, or -1 for no limit", float64(MaxAmount)))
			}
		}
	}
	return s, nil
}

// Wait returns how long a submission is expected to wait, and whether it waits for the limit of its
// team. It is zero if there may be room for it.
func (s *Summary) Wait(q *Request) (d time.Duration, own bool) {
	ofTeam, ofCell := s.waitIn(s.Teams, q.Team, q.Team, q), s.waitIn(s.Services, q.Service, "", q)
	return max(ofTeam, ofCell), ofTeam >= ofCell
}

// waitIn returns the wait for a room, zero if the room holds the submission or is not known. team
// is that of the backlogs to count.
func (s *Summary) waitIn(rooms []Room, name, team string, q *Request) (longest time.Duration) {
	i := slices.IndexFunc(rooms, func(r Room) bool { return r.Name == name })
	if i < 0 || rooms[i].holds(q) {
		return 0
	}
	var waits [len(Amounts{})]time.Duration
	for k := range s.Backlogs {
		b := &s.Backlogs[k]
		if b.Team != team || b.Queue != q.Queue || b.Label != "" && !slices.Contains(q.Labels, b.Label) {
			continue
		}
		for resource := range waits {
			if q.Demand[resource] > 0 { // other work waits for what this submission does not need
				waits[resource] += b.waitAt(q.Laxity, resource)
			}
		}
	}
	return max(waits[Cores], waits[Memory])
}
