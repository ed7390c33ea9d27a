package schedule

import (
	"maps"
	"math"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// loadRoom is the room under the limit of a team, or on the hosts of a service.
type loadRoom struct {
	// capacity is the limit, zero for none, or what the hosts have; used is in use of it, waiting
	// what all waiting work needs.
	capacity, used, waiting admission.Amounts
	// onHost is the most that is free on one host; nil for a team.
	onHost *admission.Amounts
	// full is set for a resource of which at least minUseToRefuse is in use, contended if one is.
	full      [len(admission.Amounts{})]bool
	contended bool
}

// settle computes what follows from capacity and used.
func (r *loadRoom) settle() {
	for i := range r.capacity {
		r.full[i] = r.capacity[i] > 0 && r.used[i] >= minUseToRefuse*r.capacity[i]
		r.contended = r.contended || r.full[i]
	}
}

// published returns the room as nodes use it.
func (r *loadRoom) published(name string) admission.Room {
	out := admission.Room{Name: name, OnHost: r.onHost}
	for i := range r.capacity {
		out.Free[i] = min(max(math.Ceil(r.capacity[i]-r.used[i]), 0), admission.MaxAmount)
		if r.capacity[i] == 0 && r.onHost == nil {
			out.Free[i] = -1 // the team has no limit
		}
		out.Waiting[i] = min(math.Floor(r.waiting[i]), admission.MaxAmount)
	}
	return out
}

// loadRooms holds the room of each team and each service.
type loadRooms struct {
	teams, services map[string]*loadRoom
}

func newLoadRooms(s *Scheduler) *loadRooms {
	r := &loadRooms{teams: make(map[string]*loadRoom), services: s.serviceRooms()}
	for _, g := range s.liveGroups() {
		if !s.isWaiting(g) {
			continue
		}
		needed := amountsOf(g.size, float64(g.waiting))
		r.ofTeam(g.job.team).wait(needed)
		if service := r.services[g.job.queue.Service]; service != nil {
			service.wait(needed)
		}
	}
	return r
}

func (r *loadRoom) wait(needed admission.Amounts) {
	for i := range needed {
		r.waiting[i] += needed[i]
	}
}

// ofTeam returns the room under the limit of a team.
func (r *loadRooms) ofTeam(t *team) *loadRoom {
	room := r.teams[t.name]
	if room == nil {
		room = &loadRoom{capacity: amountsOf(t.limit, 1), used: amountsOf(t.used, 1)}
		room.settle()
		r.teams[t.name] = room
	}
	return room
}

// contended reports whether new work may have to wait anywhere.
func (r *loadRooms) contended() bool {
	for _, list := range []map[string]*loadRoom{r.teams, r.services} {
		for _, room := range list {
			if room.contended {
				return true
			}
		}
	}
	return false
}

// published returns the rooms as nodes use them.
func (r *loadRooms) published() (teams, services []admission.Room) {
	for _, name := range slices.Sorted(maps.Keys(r.teams)) {
		if r.teams[name].contended {
			teams = append(teams, r.teams[name].published(name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if r.services[name].contended {
			services = append(services, r.services[name].published(name))
		}
	}
	return teams, services
}

// countsAsCapacity reports whether the room of a host counts. That of a host which is out of
// reach, closed or avoided for a moment does: it may serve what waits. That of a host which is
// draining, or whose zone is evacuated, does not.
func (h *host) countsAsCapacity() bool { return h.listed && !h.spec.Leaving && !h.evacuated }

// serviceRooms returns the room on the hosts of each service.
func (s *Scheduler) serviceRooms() map[string]*loadRoom {
	rooms := make(map[string]*loadRoom)
	for _, h := range s.sortedHosts {
		if !h.countsAsCapacity() {
			continue
		}
		r := rooms[h.spec.Service]
		if r == nil {
			r = &loadRoom{onHost: &admission.Amounts{}}
			rooms[h.spec.Service] = r
		}
		r.addHost(h.spec.Capacity, h.used)
	}
	for _, r := range rooms {
		r.settle()
	}
	return rooms
}

func (r *loadRoom) addHost(capacity, used resource.Vector) {
	has, taken := amountsOf(capacity, 1), amountsOf(used, 1)
	for i := range has {
		r.capacity[i] += has[i]
		r.used[i] += taken[i]
		r.onHost[i] = min(max(r.onHost[i], has[i]-taken[i]), admission.MaxAmount)
	}
}
