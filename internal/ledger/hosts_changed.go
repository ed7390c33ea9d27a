package ledger

// HostsChanged reports a change of the host set of a shard.
type HostsChanged struct {
	Origin
	Shard   string
	Added   []HostEntry
	Removed []string
}
