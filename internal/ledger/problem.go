package ledger

import "strings"

// Problem describes one error in a publication or a set of objects.
type Problem struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Field string `json:"field"`
	Value string `json:"value"`
	// Want describes what would be accepted.
	Want string `json:"want"`
}

// bounded returns p with its texts cut to MaxNameBytes and stripped of invalid
// UTF-8. JSON replaces invalid UTF-8, so such texts would change in a snapshot.
func (p Problem) bounded() Problem {
	for _, text := range []*string{&p.Kind, &p.Name, &p.Field, &p.Value, &p.Want} {
		*text = strings.ToValidUTF8((*text)[:min(len(*text), MaxNameBytes)], "")
	}
	return p
}
