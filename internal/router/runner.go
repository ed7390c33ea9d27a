package router

// Runner describes one instance of an upstream.
type Runner struct {
	ID       string
	Address  string
	Zone     string
	Upstream string
	// Slots is the number of concurrent requests of the runner over all nodes.
	Slots int
}
