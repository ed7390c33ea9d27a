package owner

import "github.com/uber-go/tally/v4"

// updateFlag sets a gauge to 1 if a condition holds, and to 0 otherwise.
func updateFlag(g tally.Gauge, holds bool) {
	value := 0.0
	if holds {
		value = 1
	}
	g.Update(value)
}
