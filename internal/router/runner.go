package router

// Runner describes one instance of an upstream.
type Runner struct {
	ID       string
	Address  string
	Zone     string
	Upstream string
	// Slots is the number of requests that the runner serves concurrently, over
	// all nodes.
	Slots int
}
