package schedule

import "fmt"

// ZoneDump is the state of an evacuated availability zone.
type ZoneDump struct {
	Zone  string `json:"zone"`
	Hosts int    `json:"hosts"`
	Runs  int    `json:"runs"`
}

// dumpZones returns the state of the evacuated zones.
func (s *Scheduler) dumpZones() (out []ZoneDump) {
	usage := make(map[string]ZoneDump)
	for _, h := range s.hosts {
		if h.evacuated {
			d := usage[h.spec.Zone]
			d.Hosts++
			d.Runs += len(h.runs) + h.unknownRuns
			usage[h.spec.Zone] = d
		}
	}
	for _, zone := range s.evacuated.Names() {
		d := usage[zone]
		d.Zone = zone
		out = append(out, d)
	}
	return out
}

// explainEvacuation describes what evacuations keep the waiting tasks of a group from; it
// is empty if there is nothing.
func (s *Scheduler) explainEvacuation(g *group) (text string) {
	if g.waiting == 0 {
		return ""
	}
	if s.startsHeld {
		text = ", nothing starts until the evacuated zones have been read again"
	}
	n := 0
	for _, h := range s.sortedHosts {
		if h.evacuated && s.couldHold(g, h) {
			n++
		}
	}
	if n > 0 {
		text += fmt.Sprintf(", %d of its hosts are in evacuated zones", n)
	}
	return text
}
