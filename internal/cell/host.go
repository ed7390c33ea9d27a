package cell

import (
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Host is a worker host as the platform's host list describes it.
type Host struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Address  string          `json:"address"`
	Zone     string          `json:"zone"`
	Capacity resource.Vector `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	// Leaving is set if the host keeps its tasks for now but takes no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// StartedMs is when the host last started, in Unix milliseconds; zero if unknown.
	StartedMs int64 `json:"born,omitempty"`
}

// HasLabel reports whether the host has a label.
func (h *Host) HasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Rack returns the label of the host's rack, or an empty string. Rack labels
// have the form rROOM-NUMBER.
func (h *Host) Rack() string {
	for _, l := range h.Labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
