package objects

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Amount is a number of units as written in a contract, such as "120 slots".
type Amount struct {
	Count int64
	// Word is the unit as written: its name or its plural.
	Word string
}

// ParseAmount reads "120 slots".
func ParseAmount(s string) (Amount, error) {
	count, word, ok := strings.Cut(s, " ")
	if !ok || !validName(word) {
		return Amount{}, eris.Errorf("%q is not a number and a unit", s)
	}
	n, err := strconv.ParseInt(count, 10, 64)
	if err != nil || n < 0 || strconv.FormatInt(n, 10) != count {
		return Amount{}, eris.Errorf("%q is not a whole number from 0 to %d", count, int64(1<<63-1))
	}
	return Amount{n, word}, nil
}

// String returns the amount as it is written.
func (a Amount) String() string { return fmt.Sprintf("%d %s", a.Count, a.Word) }
