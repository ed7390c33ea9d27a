package ledger

// Problem is one fault of a set of objects.
type Problem struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Value string `json:"value"`
	// Want tells what would be accepted.
	Want string `json:"want"`
}
