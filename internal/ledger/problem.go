package ledger

import "strings"

// Problem is one fault of a set of objects.
type Problem struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Value string `json:"value"`
	// Want tells what would be accepted.
	Want string `json:"want"`
}

// bounded returns p with texts that have a bounded length and survive a
// snapshot, whose JSON replaces invalid UTF-8.
func (p Problem) bounded() Problem {
	for _, text := range []*string{&p.Kind, &p.Name, &p.Field, &p.Value, &p.Want} {
		*text = strings.ToValidUTF8((*text)[:min(len(*text), MaxName)], "")
	}
	return p
}
