package trial

// Life is what an owner knows of the present lifetime of a host.
type Life struct {
	// Restarted is set if the host has restarted since the owner began.
	Restarted bool
	// StartedMs is when the lifetime began, in Unix milliseconds; zero if the host has not
	// answered this owner.
	StartedMs int64
}
