package gateway

// Explanation says why the tasks of a job wait or where they run.
type Explanation struct {
	Job   string `json:"job"`
	State string `json:"state"`
	// Reasons are listed in the order in which they keep the job from running.
	Reasons []Reason `json:"reasons"`
	// Hosts counts the hosts that cannot take a task of the job, by reason.
	Hosts map[string]int `json:"hosts,omitempty"`
	// Running lists some of the running tasks.
	Running []Placement `json:"running,omitempty"`
}

// Reason is one cause for which tasks of a job wait.
type Reason struct {
	// Code is a stable identifier, such as team-limit, no-room, quarantine, log-unavailable.
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
