package owner

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Guards against ends that a host has forgotten unlisted and nobody notices, and against a warning
// for ends that were listed.
func TestForgottenEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		seen    int64
		numbers []int64
		want    int64
	}{
		{"none listed", 7, nil, 0},
		{"only ends that were listed before", 7, []int64{6, 7}, 0},
		{"the next ones", 7, []int64{9, 8}, 0},
		{"the first ones of a lifetime", 0, []int64{1, 2}, 0},
		{"a gap", 7, []int64{7, 11, 12}, 3},
		{"a gap at the beginning of a lifetime", 0, []int64{25}, 24},
	} {
		var listed []cell.Ended
		for _, n := range c.numbers {
			listed = append(listed, cell.Ended{Number: n})
		}
		if got := forgottenEnds(c.seen, listed); got != c.want {
			t.Errorf("%s: %d ends count as forgotten, want %d", c.name, got, c.want)
		}
	}
}
