package ledger

// HostsChanged reports a change of the hosts of a shard.
type HostsChanged struct {
	Origin
	Shard   string
	Added   []HostEntry
	Removed []string
}
