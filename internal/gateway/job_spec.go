package gateway

import (
	"fmt"
	"regexp"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/objects"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// MaxTasks bounds the number of tasks in one job.
	MaxTasks = 1_000_000
	// MaxCommandBytes bounds the length of the command of a job.
	MaxCommandBytes = 16 << 10
	// maxTaskResource bounds the amount of each resource of one task.
	maxTaskResource = 1 << 30
	minLease        = time.Second
	maxLease        = 24 * time.Hour
	defaultLease    = 10 * time.Second
	maxJobDuration  = 366 * 24 * time.Hour
)

// JobSpec is a job as a caller submits it.
type JobSpec struct {
	ID string `json:"id"`
	// Team defaults to the caller's own team.
	Team  string          `json:"team,omitempty"`
	Queue string          `json:"queue"`
	Kind  work.Kind       `json:"kind"`
	Class work.Class      `json:"class"`
	Tasks int32           `json:"tasks"`
	Size  resource.Vector `json:"size"`
	// Idempotent defaults to false: each task is then started at most once.
	Idempotent bool `json:"idempotent"`
	// Lease is the time for which a task may run without contact between its
	// worker and the shard owner, Runtime the declared run time of one task, and
	// Deadline the time after acceptance within which the job should finish.
	Lease    objects.Duration `json:"lease,omitempty"`
	Runtime  objects.Duration `json:"runtime,omitempty"`
	Deadline objects.Duration `json:"deadline,omitempty"`
	Template string           `json:"template,omitempty"`
	Command  string           `json:"command"`
}

// Job converts s to a work.Job.
func (s JobSpec) Job() work.Job {
	return work.Job{
		ID: work.JobID(s.ID), Team: s.Team, Queue: s.Queue, Kind: s.Kind, Class: s.Class, Tasks: s.Tasks, Size: s.Size,
		Idempotent: s.Idempotent, Lease: time.Duration(s.Lease), Runtime: time.Duration(s.Runtime),
		Deadline: time.Duration(s.Deadline), Template: s.Template, Command: s.Command,
	}
}

var (
	idPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

const (
	idRule   = "1 to 128 of A-Z, a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
	nameRule = "1 to 63 of a-z, 0-9 and '-', starting with a letter and not ending with '-'"
)

// applyDefaultsAndCheck fills in the caller's team and the defaults, and
// returns a Problem for the first invalid field.
func (s *JobSpec) applyDefaultsAndCheck(c Caller) *Problem {
	if s.Team == "" {
		s.Team = c.Team
	}
	if s.Lease == 0 {
		s.Lease = objects.Duration(defaultLease)
	}
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	switch {
	case !idPattern.MatchString(s.ID):
		return invalidField("id", s.ID, idRule)
	case !namePattern.MatchString(s.Team):
		return invalidField("team", s.Team, "a team, or a key that belongs to one")
	case !namePattern.MatchString(s.Queue):
		return invalidField("queue", s.Queue, nameRule)
	case s.Template != "" && !idPattern.MatchString(s.Template):
		return invalidField("template", s.Template, idRule)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalidField("tasks", fmt.Sprint(s.Tasks), fmt.Sprintf("1 to %d", MaxTasks))
	case s.Size.IsZero() || s.Size.IsNegative() || max(s.Size.MilliCPU, s.Size.MemoryMiB, s.Size.Accelerators) > maxTaskResource:
		return invalidField("size", s.Size.String(), fmt.Sprintf("0 to %d of each resource, and not all 0", maxTaskResource))
	case len(s.Command) > MaxCommandBytes:
		return invalidField("command", fmt.Sprintf("%d bytes", len(s.Command)), fmt.Sprintf("at most %d bytes", MaxCommandBytes))
	}
	return s.checkDurations()
}

func (s *JobSpec) checkDurations() *Problem {
	for _, d := range []struct {
		field     string
		value     objects.Duration
		low, high time.Duration
	}{
		{"lease", s.Lease, minLease, maxLease}, {"runtime", s.Runtime, 0, maxJobDuration}, {"deadline", s.Deadline, 0, maxJobDuration},
	} {
		if v := time.Duration(d.value); v < d.low || v > d.high {
			return invalidField(d.field, v.String(), fmt.Sprintf("%s to %s", d.low, d.high))
		}
	}
	return nil
}
