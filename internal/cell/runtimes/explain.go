package runtimes

import (
	"cmp"
	"slices"
	"strings"
)

// Explain describes what the model holds for each key, for the dump.
func (m *Model) Explain() []Entry {
	list := make([]Entry, 0, len(m.keys))
	for k, l := range m.keys {
		times, ratios := l.times.table(), l.ratios.table()
		e := Entry{
			Queue: k.Queue, Step: k.Step, Samples: l.times.samples, Observed: l.observed, Censored: l.censored, Dropped: l.dropped, ByRatio: l.byRatio,
			MedianMs: times.at(0.5), P90Ms: times.at(0.9), P99Ms: times.at(0.99), MedianRatio: ratios.at(0.5) / ratioScale,
			Error: l.medianError, EstimateError: l.estimateError,
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if c := strings.Compare(a.Queue, b.Queue); c != 0 {
			return c
		}
		return cmp.Compare(a.Step, b.Step)
	})
	return list
}
