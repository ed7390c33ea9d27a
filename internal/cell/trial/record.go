package trial

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Record is the stored record of a trial, from which a later owner learns of it.
type Record struct {
	// Run is the run that was started alone on a host, until its outcome is known; zero if
	// there is none.
	Run int64
	// Hosts are its hosts.
	Hosts []cell.HostInstance
}

// Begin records that a run starts under trial on a host, and reports whether that is news.
func (r *Record) Begin(run int64, on cell.HostInstance) bool {
	if r.Run != run {
		r.Run, r.Hosts = run, nil
	}
	if slices.Contains(r.Hosts, on) {
		return false
	}
	r.Hosts = append(slices.Clip(r.Hosts), on) // a stored copy may be read meanwhile
	return true
}

// End removes the record.
func (r *Record) End() { *r = Record{} }

// Crash returns the crash to count for a trial with an unknown outcome; crashed is false if its
// hosts have not crashed. life returns what is known of a host, nil if it is not known.
func (r *Record) Crash(life func(host string) *Life) (c cell.Crash, crashed bool) {
	c = cell.Crash{Run: r.Run, Silent: true}
	if len(r.Hosts) == 0 {
		crashed, c.Silent = true, false // recorded without its hosts
	}
	for _, o := range r.Hosts {
		l := life(o.ID)
		switch {
		case l == nil, l.Restarted, l.StartedMs != 0 && l.StartedMs != o.StartedMs:
			crashed, c.Silent = true, false
		case l.StartedMs == 0:
			crashed = true // the host has not answered this owner
		}
	}
	if !c.Silent {
		c.Recent, c.Suspects = true, 1
	}
	return c, crashed
}
