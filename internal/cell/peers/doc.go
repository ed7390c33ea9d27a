// Package peers carries calls between the nodes of a cell over gRPC. It owns the
// connections to the other nodes. It forwards the calls of callers, and it
// distributes the owner's requests to the advice service over all nodes, since the
// service handles only one call at a time from each machine. It must not report
// that a call did not run when another node may have acted on it.
//
// Messages are plain structs that are encoded as JSON, so no code generator is
// needed.
package peers
