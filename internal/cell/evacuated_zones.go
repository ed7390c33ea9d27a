package cell

import (
	"maps"
	"slices"
)

// EvacuatedZones is a set of availability zones on whose hosts nothing may start. It does
// not change, so that it can be shared. The nil set is empty.
type EvacuatedZones struct{ zones map[string]bool }

// NewEvacuatedZones returns the set of the given zones.
func NewEvacuatedZones(zones ...string) *EvacuatedZones {
	z := &EvacuatedZones{zones: make(map[string]bool, len(zones))}
	for _, name := range zones {
		z.zones[name] = true
	}
	return z
}

// Has reports whether a zone is evacuated.
func (z *EvacuatedZones) Has(zone string) bool { return z != nil && z.zones[zone] }

// Len returns the number of evacuated zones.
func (z *EvacuatedZones) Len() int {
	if z == nil {
		return 0
	}
	return len(z.zones)
}

// Names returns the evacuated zones, sorted.
func (z *EvacuatedZones) Names() []string {
	if z == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(z.zones))
}

// Without returns the zones of the set that are not in another one, sorted.
func (z *EvacuatedZones) Without(other *EvacuatedZones) []string {
	return slices.DeleteFunc(z.Names(), other.Has)
}
