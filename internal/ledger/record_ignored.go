package ledger

// RecordIgnored reports a well-formed record that had no effect.
type RecordIgnored struct {
	Origin
	// Kind is the record type in kebab case, for example "transfer".
	Kind string
	// Subject names the shard, job, node or limit that the record is about.
	Subject string
	Reason  string
}
