package ledger

// RecordIgnored reports that a well-formed record, or one entry of it, had no
// effect.
type RecordIgnored struct {
	Origin
	// Kind is the record type in kebab case, for example "transfer".
	Kind string
	// Subject is the name of the shard, job, node, limit, host or snapshot that
	// the record refers to.
	Subject string
	Reason  string
}
