package cell

import "time"

// Queue takes submissions at a host and path prefix and defines how their tasks
// are scheduled.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Service is the name of the pool of hosts that runs the tasks.
	Service string `json:"service,omitempty"`
	// WithoutKey is set if the queue takes submissions without an API key.
	WithoutKey bool `json:"open,omitempty"`
	// Priority is the priority of the queue; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of a task at which the submission
	// fails; zero for no limit.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// The objective for the duration of a submission is Stretch times its critical
	// path, plus Latency.
	Stretch float64       `json:"stretch,omitempty"`
	Latency time.Duration `json:"latency,omitempty"`
	Timeout time.Duration `json:"timeout,omitempty"`
	Advice  *AdvicePolicy `json:"advice,omitempty"`
}

// Snapshot returns a copy with only the fields that accepted submissions need.
func (q Queue) Snapshot() Queue {
	q.Timeout = 0
	return q
}

// sameRoute reports whether two queues take submissions at the same host and path prefix. The
// snapshots of earlier versions lack both.
func (q *Queue) sameRoute(other *Queue) bool {
	return q.Host == other.Host && q.PathPrefix == other.PathPrefix && (q.Host != "" || q.PathPrefix != "")
}

// AdvicePolicy describes how long a call of the admission advice service takes
// and how long its tickets are valid.
type AdvicePolicy struct {
	Decision time.Duration `json:"decision"`
	PerHost  time.Duration `json:"per_host"`
	Validity time.Duration `json:"validity"`
}

// CallDuration returns the duration of a call about n hosts, at most MaxDuration.
func (p AdvicePolicy) CallDuration(n int) time.Duration {
	return ClampDuration(TimeAfter(p.Decision, p.PerHost, n))
}
