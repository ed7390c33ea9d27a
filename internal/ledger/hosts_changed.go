package ledger

// HostsChanged reports a change in the list of workers of a shard.
type HostsChanged struct {
	Origin
	Shard   string
	Added   []HostEntry
	Removed []string
}
