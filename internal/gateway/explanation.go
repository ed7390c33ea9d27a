package gateway

// Explanation says why the tasks of a job wait or where they run.
type Explanation struct {
	Job   string `json:"job"`
	State string `json:"state"`
	// Reasons lists the reasons of each home shard. The order of the shards is not
	// defined.
	Reasons []Reason `json:"reasons"`
	// Hosts counts the hosts that cannot take a task of the job, by reason. Package
	// node does not set it.
	Hosts map[string]int `json:"hosts,omitempty"`
	// Running lists some of the running tasks.
	Running []Placement `json:"running,omitempty"`
}

// Reason is one cause for which tasks of a job wait.
type Reason struct {
	// Code is "waits" if the owner of the shard reported why tasks wait, or
	// "owner-silent" if the shard has no owner or the query to the owner failed.
	Code   string `json:"code"`
	Detail string `json:"detail"`
	// Tasks is the number of tasks that wait. Package node does not set it.
	Tasks int32 `json:"tasks"`
}

// Placement is where a task runs.
type Placement struct {
	Task    int32  `json:"task"`
	Attempt int32  `json:"attempt"`
	Host    string `json:"host"`
	Shard   string `json:"shard"`
}
