// Package hostlist owns the interface to the platform's list of live and
// leaving hosts, and the HTTP client for it. The list lags behind, can omit live
// hosts and can contain hosts that no longer exist, so callers must treat it as
// a hint and never as proof that a host is up or down.
package hostlist

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Role is the purpose of a host.
type Role string

const (
	// RoleWorker is the role of a host that runs tasks.
	RoleWorker Role = "worker"
	// RoleRunner is the role of a host that serves requests.
	RoleRunner Role = "runner"
)

// Host is one entry of the host list.
type Host struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Rack    string `json:"rack"`
	// Capacity is the declared capacity of a worker; zero for a runner.
	Capacity resource.Vector `json:"capacity"`
	// Slots is the number of requests that a runner serves concurrently; zero
	// for a worker.
	Slots int `json:"slots,omitempty"`
	// Upstream is the name of the service that a runner belongs to.
	Upstream string `json:"upstream,omitempty"`
	// Leaving is true if the platform is about to remove the host.
	Leaving bool `json:"leaving,omitempty"`
}

// List reads the platform's host list.
type List interface {
	// Hosts returns the hosts that the platform currently reports.
	Hosts(ctx context.Context) ([]Host, error)
}
