package ledger

// ConfigurationRefused reports a publication whose result would be invalid.
type ConfigurationRefused struct {
	Origin
	ID       string
	Problems []Problem
	// Repeated is true if the publication was judged before.
	Repeated bool
}
