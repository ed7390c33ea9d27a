package scheduler

import "time"

// Dump is a copy of the state for operators. Its lists keep the internal order
// of the scheduler.
type Dump struct {
	Now       time.Duration
	Revision  uint64
	Paused    StartsPaused
	Summary   Summary
	Hosts     []HostDump
	Teams     []TeamDump
	Jobs      []JobDump
	Decisions []Decision
}

// HostDump is one host with the attempts and resources that are counted on it.
type HostDump struct {
	ID          string
	State       HostState
	Capacity    string
	Used        string
	Free        string
	Quarantined bool
	Reserved    bool
	Attempts    []string
}

// TeamDump is one team. Share and Entitled are in parts per million of the
// dominant resource.
type TeamDump struct {
	Name     string
	Weight   int64
	Share    int64
	Entitled int64
	Waiting  int
	// RetryBudget is in hundredths of a retry.
	RetryBudget int64
}

// JobDump is one job that has not been removed yet.
type JobDump struct {
	ID                     string
	Team                   string
	Waiting, Live, Pending int32
}

// Dump returns a copy of the state.
func (s *Scheduler) Dump() Dump {
	s.computeEntitledShares()
	d := Dump{
		Now: s.now, Revision: s.contract.Revision, Paused: s.paused,
		Summary: s.Summary(), Decisions: s.Decisions(),
	}
	for _, h := range s.hostList {
		if h != nil {
			d.Hosts = append(d.Hosts, s.dumpHost(h))
		}
	}
	for _, t := range s.teamList {
		d.Teams = append(d.Teams, TeamDump{
			Name: t.name, Weight: t.weight, Share: t.share, Entitled: t.entitled,
			Waiting: t.waiting, RetryBudget: t.retryBudget,
		})
	}
	for _, j := range s.jobList {
		d.Jobs = append(d.Jobs, JobDump{
			ID: string(j.spec.ID), Team: j.team.name, Waiting: j.waiting, Live: j.live, Pending: j.pending,
		})
	}
	return d
}

func (s *Scheduler) dumpHost(h *host) HostDump {
	d := HostDump{
		ID: h.view.ID, State: h.state, Capacity: h.view.Capacity.String(), Used: h.used.String(),
		Free: h.view.Free.String(), Quarantined: s.onProbation(h), Reserved: h.reservation != nil,
	}
	for _, a := range h.running {
		d.Attempts = append(d.Attempts, a.id.String()+" "+a.state.String())
	}
	return d
}
