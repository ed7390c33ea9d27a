package cell

import (
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Team is a client account with its keys and limits.
type Team struct {
	Name string
	Keys []string
	// Weight is the share of the team when the cell is full, and the
	// submissions a second that it is entitled to.
	Weight float64
	// Cap bounds what the team has running; a zero amount is no bound.
	Cap resource.Vector
}

// Service is a pool of hosts.
type Service struct {
	Name string
	// GuardsCapacity is set if hosts refuse what does not fit.
	GuardsCapacity bool
	// Standby services have their machines switched off.
	Standby bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Desired is one published version of the objects that operators control.
type Desired struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Teams    map[string]Team
	Limits   Limits

	byKey map[string]string
}

// Index prepares the look-up of keys. It is called once, before use.
func (d *Desired) Index() {
	d.byKey = make(map[string]string)
	for _, t := range d.Teams {
		for _, k := range t.Keys {
			d.byKey[k] = t.Name
		}
	}
}

// TeamOf returns the team that a key belongs to.
func (d *Desired) TeamOf(key string) (string, bool) {
	name, ok := d.byKey[key]
	return name, ok
}

// Route returns the queue with the longest matching prefix and the rest of the path.
func (d *Desired) Route(host, path string) (q Queue, rest string, ok bool) {
	for _, c := range d.Queues {
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (!ok || len(c.PathPrefix) > len(q.PathPrefix)) {
			q, ok = c, true
		}
	}
	return q, strings.TrimPrefix(path, q.PathPrefix), ok
}

// Queue returns a queue by name.
func (d *Desired) Queue(name string) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
