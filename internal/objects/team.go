package objects

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Team is a client account.
type Team struct {
	Limit string `json:"limit" toml:"limit"`
	Share string `json:"share" toml:"share"`
	// Declares lists work that the team's limit must have room for.
	Declares []Declaration `json:"declares,omitempty" toml:"declares"`
}

// Declaration announces a family of jobs.
type Declaration struct {
	Template string `json:"template" toml:"template"`
	// Kind is batch, service or gang; a gang needs room for all its tasks.
	Kind  work.Kind       `json:"kind" toml:"kind"`
	Tasks int32           `json:"tasks" toml:"tasks"`
	Size  resource.Vector `json:"size" toml:"size"`
}
