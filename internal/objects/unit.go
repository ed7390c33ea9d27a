package objects

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Unit defines a unit for the amounts of limits: either as amounts of resources,
// or as a multiple of another unit.
type Unit struct {
	// Plural is the plural of the name; the name and "s" if empty.
	Plural       string `json:"plural,omitempty" toml:"plural"`
	MilliCPU     int64  `json:"milli_cpu,omitempty" toml:"milli_cpu"`
	MemoryMiB    int64  `json:"memory_mib,omitempty" toml:"memory_mib"`
	Accelerators int64  `json:"accelerators,omitempty" toml:"accelerators"`
	// Of names the unit that this one is a multiple of.
	Of     string `json:"of,omitempty" toml:"of"`
	Factor int64  `json:"factor,omitempty" toml:"factor"`
}

func (u Unit) resources() resource.Vector {
	return resource.Vector{MilliCPU: u.MilliCPU, MemoryMiB: u.MemoryMiB, Accelerators: u.Accelerators}
}

func (u Unit) plural(name string) string {
	if u.Plural != "" {
		return u.Plural
	}
	return name + "s"
}

// Convert converts n units of size from to units of size to, rounded down: the
// result never covers more resources. ok is false on overflow.
func Convert(n int64, from, to resource.Vector) (units int64, ok bool) {
	total, ok := scale(from, n)
	if !ok {
		return 0, false
	}
	return total.UnitsIn(to), true
}

// scale multiplies v by n; ok is false if a resource overflows.
func scale(v resource.Vector, n int64) (resource.Vector, bool) {
	for i := range resource.Dimensions {
		if a := v.At(i); a != 0 && n > maxInt64/a {
			return resource.Vector{}, false
		}
	}
	return v.Scale(n), true
}

const maxInt64 = 1<<63 - 1
