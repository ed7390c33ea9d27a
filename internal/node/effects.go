package node

import "github.com/medlarpulley/medlarpulley/internal/ledger"

// ignored reports whether the events of a record show that it had no effect.
func ignored(events []ledger.Event) bool {
	for _, e := range events {
		switch e.(type) {
		case ledger.RecordIgnored, ledger.Malformed, ledger.ClaimIgnored:
			return true
		}
	}
	return false
}

// find returns the first event of a type.
func find[T ledger.Event](events []ledger.Event) (event T, ok bool) {
	for _, e := range events {
		if match, isType := e.(T); isType {
			return match, true
		}
	}
	return event, false
}
