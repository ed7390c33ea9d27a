package trial

const (
	// HostsPerTrial limits the hosts that suspected tasks hold at one time to one in
	// HostsPerTrial, at least one.
	HostsPerTrial = 8
	// HostsPerCrash limits them likewise, together with the hosts that are down since a run
	// that had just started there may have crashed them.
	HostsPerCrash = 4
)

// Capacity is how much of the cell trials may take.
type Capacity struct {
	// Idle is the number of usable hosts without runs but those of suspected tasks.
	Idle int
	// Crashed is the number of hosts that are down, outside of trials, of which a run that
	// had just started is the suspected cause.
	Crashed int
	usable  int
	unused  float64
}

// AddUsable counts a usable host. idle is set if it has no runs but those of suspected tasks;
// unused is the share of it that no run uses, 1 if it is kept free for a trial.
func (c *Capacity) AddUsable(idle bool, unused float64) {
	if idle {
		c.Idle++
	}
	c.usable++
	c.unused += unused
}

// Unused returns how many hosts could be held for trials while half of the capacity of all
// usable hosts stays free of them and of other runs.
func (c *Capacity) Unused() int { return int(c.unused - float64(c.usable)/2) }

// MaxHosts returns how many hosts work under trial may hold at one time, those that are down
// after a trial included: a small part of all hosts in service, a larger part if it includes
// all hosts that are down after the start of a task, those that no other work needs, or as
// many as leave it half of all capacity.
func (c *Capacity) MaxHosts(inService int) int {
	return max(1, inService/HostsPerTrial, inService/HostsPerCrash-c.Crashed, c.Spare(inService), c.Unused())
}

// Spare returns how many of the idle hosts no other work needs: all but a reserve. One host at
// least is kept for what comes while the others are held.
func (c *Capacity) Spare(inService int) int { return c.Idle - max(inService/HostsPerTrial, 1) }
