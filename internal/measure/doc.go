// Package measure runs a cluster under load and measures waiting time, packing,
// the cost of control and nearness to share. The platform is made of stand-ins
// in this process. Each entry node is a process of its own, so that processor
// time and memory are those of one node.
package measure
