// Package resource provides exact integer arithmetic on host resources.
package resource

import (
	"fmt"
	"strconv"
)

// Vector is an amount of each host resource.
type Vector struct {
	// MilliCPU is processor capacity in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" toml:"milli_cpu"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib" toml:"memory_mib"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty" toml:"accelerators,omitempty"`
}

// Dimensions is the number of resources in a Vector, for use with At.
const Dimensions = 3

// At returns the amount of resource i, in the order of the fields.
func (v Vector) At(i int) int64 {
	switch i {
	case 0:
		return v.MilliCPU
	case 1:
		return v.MemoryMiB
	default:
		return v.Accelerators
	}
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.MilliCPU + w.MilliCPU, v.MemoryMiB + w.MemoryMiB, v.Accelerators + w.Accelerators}
}

// Sub returns v - w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.MilliCPU - w.MilliCPU, v.MemoryMiB - w.MemoryMiB, v.Accelerators - w.Accelerators}
}

// Scale returns v times n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryMiB * n, v.Accelerators * n}
}

// Min returns the smaller amount of each resource.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.MilliCPU, w.MilliCPU), min(v.MemoryMiB, w.MemoryMiB), min(v.Accelerators, w.Accelerators)}
}

// Fits reports whether v is at most w in every resource.
func (v Vector) Fits(w Vector) bool {
	return v.MilliCPU <= w.MilliCPU && v.MemoryMiB <= w.MemoryMiB && v.Accelerators <= w.Accelerators
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// IsNegative reports whether any amount is below zero.
func (v Vector) IsNegative() bool {
	return v.MilliCPU < 0 || v.MemoryMiB < 0 || v.Accelerators < 0
}

// String returns a human-readable form, such as "4 cores, 8 GiB, 1 accelerator".
func (v Vector) String() string {
	text := cores(v.MilliCPU) + ", " + memory(v.MemoryMiB)
	switch v.Accelerators {
	case 0:
		return text
	case 1:
		return text + ", 1 accelerator"
	default:
		return fmt.Sprintf("%s, %d accelerators", text, v.Accelerators)
	}
}

// cores formats an amount of processor cores without rounding.
func cores(milli int64) string {
	if milli == 1000 {
		return "1 core"
	}
	return strconv.FormatFloat(float64(milli)/1000, 'f', -1, 64) + " cores"
}

// memory formats an amount of memory in GiB if that is exact, else in MiB.
func memory(mib int64) string {
	if mib%1024 == 0 {
		return fmt.Sprintf("%d GiB", mib/1024)
	}
	return fmt.Sprintf("%d MiB", mib)
}

// UnitsNeeded returns the smallest number of units that covers v in every
// resource. ok is false if v needs a resource that the unit does not contain.
func (v Vector) UnitsNeeded(unit Vector) (units int64, ok bool) {
	for i := range Dimensions {
		need, one := v.At(i), unit.At(i)
		if need <= 0 {
			continue
		}
		if one <= 0 {
			return 0, false
		}
		units = max(units, (need+one-1)/one)
	}
	return units, true
}

// UnitsIn returns the largest number of whole units that fit into v. It is zero
// if the unit is empty.
func (v Vector) UnitsIn(unit Vector) int64 {
	best := int64(-1)
	for i := range Dimensions {
		one := unit.At(i)
		if one <= 0 {
			continue
		}
		if n := v.At(i) / one; best < 0 || n < best {
			best = n
		}
	}
	return max(best, 0)
}
