package measure

// Report is the result of one run.
type Report struct {
	Example string  `json:"example"`
	Nodes   int     `json:"nodes"`
	Workers int     `json:"workers"`
	Faults  bool    `json:"faults"`
	Seconds float64 `json:"seconds"`
	// Waiting has one entry per class and team. Packing and Shares are measured
	// under the mixed load only.
	Waiting  []Waiting     `json:"waiting,omitempty"`
	Packing  *Packing      `json:"packing,omitempty"`
	Shares   []Share       `json:"shares,omitempty"`
	Requests *RequestStats `json:"requests,omitempty"`
	// Idle is the cost before the load, Loaded the cost under load.
	Idle   *Cost `json:"idle,omitempty"`
	Loaded Cost  `json:"loaded"`
	// Refused is the number of submissions that failed, and of operations that were
	// not sent because too many were in flight.
	Refused  int       `json:"refused_submissions"`
	Takeover *Takeover `json:"takeover,omitempty"`
	// Violations lists the violations of I1 and I2 in the workers' journal.
	Violations []string `json:"broken_promises,omitempty"`
	// InjectedFaults lists the injected faults with their times.
	InjectedFaults []string `json:"fault_log,omitempty"`
	series         []plotPoint
}

// Waiting summarizes the times from submission to the first start of the tasks of
// one class and team. The quantiles cover started tasks only; Waiting is the
// number of tasks that never started.
type Waiting struct {
	Class   string  `json:"class"`
	Team    string  `json:"team"`
	Started int     `json:"started"`
	Waiting int     `json:"not_started"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Packing is the utilization of the bottleneck resource while tasks were waiting.
type Packing struct {
	Percent float64 `json:"percent"`
	// Resource is the resource with the highest utilization.
	Resource string `json:"resource"`
	Samples  int    `json:"samples"`
}

// Share compares the time-weighted use of a team's dominant resource with the
// entitlement of the team, both in percent of the cluster.
type Share struct {
	Team     string  `json:"team"`
	Used     float64 `json:"used_percent"`
	Entitled float64 `json:"entitled_percent"`
	// Deviation is the deviation of Used from Entitled, in percent of Entitled.
	Deviation float64 `json:"off_percent"`
}

// RequestStats summarizes the requests of the mixed load. The quantiles are those
// of the latencies of successful requests.
type RequestStats struct {
	Sent int     `json:"sent"`
	OK   int     `json:"ok"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// Takeover describes how other nodes took over the shards of a killed owner.
type Takeover struct {
	Shards int `json:"shards"`
	// Seconds is the time from the kill until the last of these shards has started a
	// task again. NotRecovered is the number of shards that did not within
	// the timeout.
	Seconds      float64 `json:"seconds"`
	NotRecovered int     `json:"not_back"`
	// AdoptedSeconds is the time from the kill until successors had adopted every
	// worker of the last shard. NotAdopted is the number of shards without such a
	// successor.
	AdoptedSeconds float64 `json:"adopted_seconds"`
	NotAdopted     int     `json:"not_adopted"`
	// RestartSeconds is the time from the restart of the killed process until it
	// served.
	RestartSeconds float64 `json:"rebuild_seconds"`
}

// plotPoint is one sample of the run for the plots: at in seconds, used in percent.
type plotPoint struct {
	at   float64
	used float64
	// teams is the use of the dominant resource by team, in percent.
	teams map[string]float64
}
