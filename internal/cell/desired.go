package cell

import (
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Team is a client account with its API keys and limits.
type Team struct {
	Name string
	Keys []string
	// Weight is the number of submissions per second to which the team is entitled;
	// zero means no limit. Submissions beyond it are placed after all others.
	Weight float64
	// Limit limits the resources that the team's running tasks use; a zero amount
	// means no limit.
	Limit resource.Vector
}

// Service is a pool of hosts.
type Service struct {
	Name string
	// EnforcesCapacity is set if hosts refuse tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby is set if the machines of the service are switched off.
	Standby bool
}

// Limits holds the limits on requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Desired is the desired state: one published version of the queues, services,
// teams and limits, which operators control.
type Desired struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Teams    map[string]Team
	Limits   Limits

	teamByKey map[string]string
}

// IndexKeys builds the lookup table of API keys. It is called once, before the first
// call of TeamOf.
func (d *Desired) IndexKeys() {
	d.teamByKey = make(map[string]string)
	for _, t := range d.Teams {
		for _, k := range t.Keys {
			d.teamByKey[k] = t.Name
		}
	}
}

// TeamOf returns the name of the team that owns an API key.
func (d *Desired) TeamOf(key string) (string, bool) {
	name, ok := d.teamByKey[key]
	return name, ok
}

// Route returns the queue of a host with the longest path prefix that matches,
// and the rest of the path.
func (d *Desired) Route(host, path string) (q Queue, rest string, ok bool) {
	for _, c := range d.Queues {
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (!ok || len(c.PathPrefix) > len(q.PathPrefix)) {
			q, ok = c, true
		}
	}
	return q, strings.TrimPrefix(path, q.PathPrefix), ok
}

// QueueOf returns the queue that accepted work of a queue belongs to now: the one with its name,
// otherwise the one with its host and path prefix, since it may have been renamed. It returns
// false if the queue was removed.
func (d *Desired) QueueOf(accepted *Queue) (Queue, bool) {
	if q, ok := d.Queue(accepted.Name); ok {
		return q, true
	}
	for _, q := range d.Queues {
		if q.sameRoute(accepted) {
			return q, true
		}
	}
	return Queue{}, false
}

// BelongsTo reports whether QueueOf returns the given queue, which is one of d, for accepted work
// of a queue.
func (d *Desired) BelongsTo(accepted, q *Queue) bool {
	if accepted.Name == q.Name {
		return true
	}
	if !accepted.sameRoute(q) {
		return false
	}
	_, named := d.Queue(accepted.Name)
	return !named
}

// Queue returns the queue with the given name.
func (d *Desired) Queue(name string) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
