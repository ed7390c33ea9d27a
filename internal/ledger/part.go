package ledger

// Part is a range of tasks of a job that have the same home shard.
type Part struct {
	Shard string `json:"shard"`
	First int32  `json:"first"`
	Count int32  `json:"count"`
}

// end returns the index after the last task of the part.
func (p Part) end() int32 { return p.First + p.Count }

// isValidRange reports whether [first, first+count) is a non-empty range within
// [0, tasks). It is safe from integer overflow.
func isValidRange(first, count, tasks int32) bool {
	return first >= 0 && count > 0 && count <= tasks && first <= tasks-count
}
