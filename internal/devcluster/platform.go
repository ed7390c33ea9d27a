package devcluster

// AddWorkers adds n workers to the fleet and to the host list. It may be called
// only once, and only in a cluster that was started without workers.
func (c *Cluster) AddWorkers(n int) {
	for i := range n {
		c.addWorker(i)
	}
}

// Traffic counts the bytes that the stand-ins received (In) and sent (Out).
type Traffic struct {
	LogIn, LogOut, HostListIn, HostListOut, WorkerIn, WorkerOut uint64
	// Exchanges is the number of exchanges with workers.
	Exchanges uint64
}

// Traffic returns the traffic of the stand-ins since the start of the cluster.
func (c *Cluster) Traffic() Traffic {
	t := Traffic{Exchanges: c.Fleet.Exchanges()}
	t.LogIn, t.LogOut = c.logServer.Traffic.Bytes()
	t.HostListIn, t.HostListOut = c.listServer.Traffic.Bytes()
	t.WorkerIn, t.WorkerOut = c.Fleet.Traffic.Bytes()
	return t
}
