package cell

import (
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Host is a worker host as the platform lists it.
type Host struct {
	ID       string          `json:"id"`
	Service  string          `json:"service"`
	Address  string          `json:"address"`
	Zone     string          `json:"zone"`
	Capacity resource.Vector `json:"capacity"`
	Labels   []string        `json:"labels,omitempty"`
	// Leaving hosts keep their tasks for now and take no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// Born is the start of the host's present life, in Unix milliseconds; zero
	// if it is not told.
	Born int64 `json:"born,omitempty"`
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

// Rack returns the label that names the rack, or an empty string. Racks are
// the labels of the form rROOM-NUMBER.
func (h *Host) Rack() string {
	for _, l := range h.Labels {
		if strings.HasPrefix(l, "r") && strings.Contains(l, "-") {
			return l
		}
	}
	return ""
}
