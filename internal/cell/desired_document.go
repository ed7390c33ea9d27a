package cell

// DesiredDocument is a desired state as an operator wrote it: in the order of the
// document, with duplicates, empty keys and amounts that no node applies.
type DesiredDocument struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	Limits   Limits
}
