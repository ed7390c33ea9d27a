// Package requests serves synchronous requests: it forwards a request from the
// caller to a runner of an upstream and the response back. Package router makes
// the decisions about queues, slots and votes; this package owns the I/O to
// callers, runners and peer nodes. It must never report a verdict that claims
// more than is known, nor send a non-idempotent request twice.
//
// Nodes lease the slots of runners from each other: the lease manager of a
// runner is the node that leases out its slots. Before a non-idempotent request
// is sent, a majority of the nodes, the voters, reserves its id.
package requests
