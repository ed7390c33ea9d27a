package cell

import "time"

// Queue is where submissions of one kind are handed in.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Service names the pool of hosts that runs the tasks.
	Service string `json:"service,omitempty"`
	// Open queues take work without a key.
	Open bool `json:"open,omitempty"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the runs of a task that end as failed.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch times the longest chain of work, plus Latency, is the objective.
	Stretch float64       `json:"stretch,omitempty"`
	Latency time.Duration `json:"latency,omitempty"`
	Timeout time.Duration `json:"timeout,omitempty"`
	Advice  *AdvicePolicy `json:"advice,omitempty"`
}

// Snapshot returns what running work needs of the queue.
func (q Queue) Snapshot() Queue {
	q.Host, q.PathPrefix, q.Timeout = "", "", 0
	return q
}

// AdvicePolicy states what a call of the admission advice service costs, and
// how long its tickets are valid.
type AdvicePolicy struct {
	Decision time.Duration `json:"decision"`
	PerHost  time.Duration `json:"per_host"`
	Validity time.Duration `json:"validity"`
}

// Cost returns how long a call that names n hosts takes.
func (p AdvicePolicy) Cost(n int) time.Duration { return p.Decision + time.Duration(n)*p.PerHost }
