package gateway

// Explanation says why the tasks of a job wait or where they run.
type Explanation struct {
	Job   string `json:"job"`
	State string `json:"state"`
	// Reasons are in the order in which they hold the job back.
	Reasons []Reason `json:"reasons"`
	// Hosts counts the hosts that refuse a task of the job, by reason.
	Hosts map[string]int `json:"hosts,omitempty"`
	// Running lists some of the running tasks.
	Running []Placement `json:"running,omitempty"`
}

// Reason is one thing that a job waits for.
type Reason struct {
	// Code is stable, such as team-limit, no-room, quarantine, log-unavailable.
	Code   string `json:"code"`
	Detail string `json:"detail"`
	Tasks  int32  `json:"tasks"`
}

// Placement is where a task runs.
type Placement struct {
	Task    int32  `json:"task"`
	Attempt int32  `json:"attempt"`
	Host    string `json:"host"`
	Shard   string `json:"shard"`
}
