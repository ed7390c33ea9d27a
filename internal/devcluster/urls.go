package devcluster

// LogURL returns the base URL of the log, for entry nodes in other processes.
func (c *Cluster) LogURL() string { return c.logServer.URL() }

// HostListURL returns the base URL of the host list, for entry nodes in other processes.
func (c *Cluster) HostListURL() string { return c.listServer.URL() }
