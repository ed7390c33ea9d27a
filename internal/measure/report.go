package measure

// Report is the result of a run.
type Report struct {
	Example string  `json:"example"`
	Nodes   int     `json:"nodes"`
	Workers int     `json:"workers"`
	Faults  bool    `json:"faults"`
	Seconds float64 `json:"seconds"`
	// Waiting is by class and team; Packing and Shares are of the mixed load.
	Waiting  []Waiting     `json:"waiting,omitempty"`
	Packing  *Packing      `json:"packing,omitempty"`
	Shares   []Share       `json:"shares,omitempty"`
	Requests *RequestStats `json:"requests,omitempty"`
	// Idle is the cost before the load, Loaded that under load.
	Idle   *Cost `json:"idle,omitempty"`
	Loaded Cost  `json:"loaded"`
	// Refused counts submissions that were not accepted.
	Refused  int       `json:"refused_submissions"`
	Takeover *Takeover `json:"takeover,omitempty"`
	// Broken lists the times at which the workers' journal contradicts I1 or I2.
	Broken []string `json:"broken_promises,omitempty"`
	// Faulted describes the faults with their times.
	Faulted []string `json:"fault_log,omitempty"`
	series  []point
}

// Waiting is the time from submission to the first start, for started tasks.
type Waiting struct {
	Class   string  `json:"class"`
	Team    string  `json:"team"`
	Started int     `json:"started"`
	Waiting int     `json:"not_started"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Packing is the use of the bottleneck resource while tasks waited.
type Packing struct {
	Percent float64 `json:"percent"`
	// Resource is the one with the highest use.
	Resource string `json:"resource"`
	Samples  int    `json:"samples"`
}

// Share compares the time-weighted dominant use of a team with its
// entitlement, both in percent of the cluster.
type Share struct {
	Team     string  `json:"team"`
	Used     float64 `json:"used_percent"`
	Entitled float64 `json:"entitled_percent"`
	// Off is the difference in percent of the entitlement.
	Off float64 `json:"off_percent"`
}

// RequestStats describes the requests of the mixed load.
type RequestStats struct {
	Sent int     `json:"sent"`
	OK   int     `json:"ok"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// Takeover is what became of the shards of a killed owner.
type Takeover struct {
	Shards int `json:"shards"`
	// Seconds is the time from the kill until the last of its shards placed a
	// task again; NotBack counts shards that did not within the limit.
	Seconds float64 `json:"seconds"`
	NotBack int     `json:"not_back"`
	// AdoptedSeconds is the time until a successor had adopted every worker of
	// the last shard; NotAdopted counts shards without one.
	AdoptedSeconds float64 `json:"adopted_seconds"`
	NotAdopted     int     `json:"not_adopted"`
	// RebuildSeconds is from the start of the replacement process to serving.
	RebuildSeconds float64 `json:"rebuild_seconds"`
}

// point is one sample of the run.
type point struct {
	at   float64
	used float64
	// teams is the dominant use by team, in percent.
	teams map[string]float64
}
