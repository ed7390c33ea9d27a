// Package hostlist is the interface to the platform's list of live and
// leaving hosts and its HTTP adapter. The list lags and can be wrong in both
// directions, so it is a hint and never a proof.
package hostlist

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Role tells what a host is for.
type Role string

const (
	// RoleWorker runs tasks.
	RoleWorker Role = "worker"
	// RoleRunner serves requests.
	RoleRunner Role = "runner"
)

// Host is one entry of the list.
type Host struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Rack    string `json:"rack"`
	// Capacity is the declared size of a worker; zero for a runner.
	Capacity resource.Vector `json:"capacity"`
	// Slots is the number of concurrent requests of a runner; zero for a worker.
	Slots int `json:"slots,omitempty"`
	// Upstream names the service that a runner belongs to.
	Upstream string `json:"upstream,omitempty"`
	// Leaving is true if the platform is about to take the host away.
	Leaving bool `json:"leaving,omitempty"`
}

// List returns the hosts that the platform currently reports.
type List interface {
	Hosts(ctx context.Context) ([]Host, error)
}
