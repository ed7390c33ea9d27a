package objects

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Amount is a number of units as written in a limit, such as "120 slots".
type Amount struct {
	Count int64
	// UnitWord is the unit as written: its name or its plural.
	UnitWord string
}

// ParseAmount parses an amount such as "120 slots".
func ParseAmount(s string) (Amount, error) {
	count, unitWord, ok := strings.Cut(s, " ")
	if !ok || !validName(unitWord) {
		return Amount{}, eris.Errorf("%q does not consist of a number, a space and a unit", s)
	}
	n, err := strconv.ParseInt(count, 10, 64)
	if err != nil || n < 0 || strconv.FormatInt(n, 10) != count {
		return Amount{}, eris.Errorf("%q is not a whole number from 0 to %d", count, int64(1<<63-1))
	}
	return Amount{n, unitWord}, nil
}

// String returns the form that ParseAmount accepts.
func (a Amount) String() string { return fmt.Sprintf("%d %s", a.Count, a.UnitWord) }
