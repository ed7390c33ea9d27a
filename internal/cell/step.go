package cell

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Step is a set of tasks of one submission that are alike.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Size is what one task needs on its host.
	Size resource.Vector `json:"size"`
	// Estimate is the submitter's rough estimate of the duration of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if tasks save their progress and can resume from it.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set if the tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// RackLocal is set if the tasks are slower when they span racks.
	RackLocal bool `json:"rack_local,omitempty"`
	// Label is a label that the host must have; empty for any host.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the data of the tasks; empty if none.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerHost bounds the tasks of the step on one host; zero for no bound.
	MaxPerHost int `json:"max_per_host,omitempty"`
	// Copies is set if several runs of one task may run at once.
	Copies bool `json:"copies,omitempty"`
	// Lasting is set if the tasks run until the submission is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the bound on the response time of a lasting task; zero if none.
	LatencyTarget time.Duration `json:"latency_target,omitempty"`
	// Fills is set if the tasks use only processor time that others leave unused.
	Fills bool `json:"fills,omitempty"`
	// MaxAbsent is how many lasting tasks may be away by order at one time.
	MaxAbsent int `json:"max_absent,omitempty"`
}

// Reserved returns what one task takes from the capacity of its host.
func (s Step) Reserved() resource.Vector {
	v := s.Size
	if s.Fills {
		v.MilliCPU = 0
	}
	return v
}
