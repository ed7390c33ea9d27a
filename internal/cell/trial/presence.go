package trial

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

const (
	// Duration is how long a task that was suspected since it had started right before a
	// crash has to run alone on a host to be cleared.
	Duration = 3 * crash.Window
	// LateDuration applies if a task may crash its host late.
	LateDuration = 10 * time.Second
)

// Presence is what is known of the presence of a run on its host.
type Presence struct {
	// Running is set if the host has the run and is not known to have crashed.
	Running bool
	// Since is when the run became known to be present, and AnsweredAt when its host last
	// answered.
	Since, AnsweredAt time.Duration
	// InTouch is set while the host answers.
	InTouch bool
}

// SurvivedStart reports whether the run has been present for so long that its task does not
// crash hosts at its start.
func (p Presence) SurvivedStart(now time.Duration) bool { return p.lasted(Duration, now) }

// SurvivedTrial reports whether the run has been present for so long that its task does not
// crash hosts. late is set if the task may crash its host late.
func (p Presence) SurvivedTrial(late bool, now time.Duration) bool {
	if late {
		return p.lasted(LateDuration, now)
	}
	return p.SurvivedStart(now)
}

// lasted reports whether the run is known to have been present for so long.
func (p Presence) lasted(needed, now time.Duration) bool {
	if !p.InTouch {
		now = p.AnsweredAt // nothing is known of the host since then
	}
	return p.Running && now >= p.Since+needed
}

// Settled reports whether the run started too long ago to be the cause if its host crashed now.
func (p Presence) Settled(now time.Duration) bool {
	return p.Since != 0 && now >= p.Since+crash.Window
}
