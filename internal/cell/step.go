package cell

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Step is a set of similar tasks of one submission.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Size is the resource demand of one task.
	Size resource.Vector `json:"size"`
	// Estimate is the submitter's rough estimate of the duration of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if the tasks write checkpoints and can resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// RackLocal is set if the tasks are slower when they span racks.
	RackLocal bool `json:"rack_local,omitempty"`
	// Label is the label that a host must have; empty for any host.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the data of the tasks; empty if none.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerHost limits the tasks of the step on one host; zero for no limit.
	MaxPerHost int `json:"max_per_host,omitempty"`
	// AllowCopies is set if speculative copies are allowed: several runs of one
	// task may be present at once.
	AllowCopies bool `json:"copies,omitempty"`
	// LongRunning is set if the tasks run until the submission is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the target for the tail latency of a long-running task;
	// zero if none.
	LatencyTarget time.Duration `json:"latency_target,omitempty"`
	// BestEffort is set if the tasks use only CPU time that other tasks leave
	// idle.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many long-running tasks may be stopped by order at
	// one time.
	MaxUnavailable int `json:"max_absent,omitempty"`
}

// Reserved returns the resources that are reserved for one task on its host. No
// CPU is reserved for a best-effort task.
func (s Step) Reserved() resource.Vector {
	v := s.Size
	if s.BestEffort {
		v.MilliCPU = 0
	}
	return v
}
