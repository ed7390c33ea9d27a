// Package measure runs a cluster under load. It measures waiting times, packing,
// the cost of the control plane, and how close the use of each team is to its
// fair share. Stand-ins in this process provide the platform. Each entry node
// runs in its own process, so that CPU time and memory can be measured per node.
package measure
