package runtimes

// Totals are figures about all keys of a model.
type Totals struct {
	Keys    int
	Samples int
	// Evicted is the number of keys that were removed for others.
	Evicted int64
	// Error and EstimateError are the means of those of the keys, weighted by their samples;
	// see Entry.
	Error, EstimateError float64
}

// Totals returns figures about all keys.
func (m *Model) Totals() Totals {
	t := Totals{Keys: len(m.keys), Evicted: m.evicted}
	for _, l := range m.keys {
		l.times.table()
		n := l.times.samples
		t.Samples += n
		t.Error += float64(n) * l.medianError
		t.EstimateError += float64(n) * l.estimateError
	}
	if t.Samples > 0 {
		t.Error /= float64(t.Samples)
		t.EstimateError /= float64(t.Samples)
	}
	return t
}
