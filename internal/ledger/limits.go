package ledger

import (
	"maps"
	"slices"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// adjustLimits updates the limits to match the current configuration objects.
func (s *State) adjustLimits(events []Event, o Origin) []Event {
	var totals map[string]int64
	if s.opts.Limits != nil {
		totals = s.opts.Limits(s.Config.sorted)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Limits)) {
		if _, ok := totals[name]; !ok {
			delete(s.Limits, name)
			events = append(events, LimitChanged{Origin: o, Limit: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		total, l := max(totals[name], 0), s.Limits[name]
		if l == nil {
			l = &limit{}
			s.Limits[name] = l
		} else if l.Total == total {
			continue
		}
		l.resize(total)
		events = append(events, LimitChanged{o, name, l.Total, l.Pool})
	}
	return events
}

func (s *State) transferUnits(events []Event, o Origin, r *ledgerv1.Transfer) []Event {
	l, shard := s.Limits[r.Limit], r.From+r.To
	reason := ""
	switch {
	case (r.From == "") == (r.To == "") || r.Units <= 0:
		return append(events, Malformed{o, "transfer does not name one shard and a number of units"})
	case l == nil:
		reason = "unknown limit"
	case !s.isOwner(o, shard, r.Token):
		reason = notOwner
	case r.From == "" && l.Pool < r.Units:
		reason = "pool has too few units"
	case r.From != "" && l.Shards[shard] < r.Units:
		reason = "shard has too few units"
	}
	if reason != "" {
		return append(events, RecordIgnored{o, "transfer", r.Limit, reason})
	}
	if r.From == "" {
		l.Pool -= r.Units
		l.add(shard, r.Units)
	} else {
		l.add(shard, -r.Units)
		l.Pool += r.Units
	}
	return append(events, UnitsTransferred{o, r.Limit, r.From, r.To, r.Units})
}
