package objects

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Team is a client account.
type Team struct {
	Limit string `json:"limit" toml:"limit"`
	Share string `json:"share" toml:"share"`
	// Declares lists jobs that must fit in the team's limit.
	Declares []Declaration `json:"declares,omitempty" toml:"declares"`
}

// Declaration describes the jobs that a team plans to submit from one template.
type Declaration struct {
	Template string `json:"template" toml:"template"`
	// Kind is batch, service or gang. For a gang, all tasks together must fit in
	// the limit; for the other kinds, one task must.
	Kind  work.Kind       `json:"kind" toml:"kind"`
	Tasks int32           `json:"tasks" toml:"tasks"`
	Size  resource.Vector `json:"size" toml:"size"`
}
