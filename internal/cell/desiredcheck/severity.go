package desiredcheck

// Severity says what a finding means for the publication.
type Severity string

const (
	// Error is a fault with which nodes ignore the document, or an entry cannot work as written.
	Error Severity = "error"
	// Warning is a value that has an effect which the operator may not intend.
	Warning Severity = "warning"
	// Difference is a difference from the desired state in force.
	Difference Severity = "difference"
)
