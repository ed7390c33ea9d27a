package ledger

// ConfigurationRefused reports that a publication was rejected because it is
// invalid or would make the configuration invalid.
type ConfigurationRefused struct {
	Origin
	ID       string
	Problems []Problem
	// Repeated is true if the same publication was processed before.
	Repeated bool
}
